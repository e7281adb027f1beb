// Package htonce records the idempotency keys of non-idempotent requests, so that each
// request runs at most once. It is a state machine without locks or goroutines: the
// caller serialises the calls and performs the effects.
package htonce
