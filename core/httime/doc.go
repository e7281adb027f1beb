// Package httime provides tickers for the periodic jobs of a process. Jobs subscribe
// to its Service instead of creating tickers, so that a state dump can list them and
// virtual time applies to them in tests.
package httime
