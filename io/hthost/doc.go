// Package hthost assembles the components of one entry host, runs them under
// supervision, and performs a planned stop.
package hthost
