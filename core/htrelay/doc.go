// Package htrelay carries a call from a caller to an upstream on a host that decides
// without asking other hosts. It sends the call to the upstream that htselect chooses,
// retries or hedges an idempotent call where that helps, and reports the outcome: done, not
// run or unknown.
package htrelay
