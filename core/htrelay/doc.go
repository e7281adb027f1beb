// Package htrelay carries a call from a caller to an upstream on a host that decides
// alone: it sends the call to the upstream that htselect chooses, sends an idempotent
// one again where that helps, and says truthfully what became of it.
package htrelay
