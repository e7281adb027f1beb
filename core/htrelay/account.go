package htrelay

import (
	"net/http"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htusage"
)

// accountRefusal returns the refusal of a call that has not been sent and whose key does not name
// its account any more, or nil. A caller whose key has moved to another account, or is not needed,
// may come back at once. A call that has been sent ends under the account that it began with. The
// caller holds r.mu.
func (r *Relay) accountRefusal(call *Call) *Answer {
	catalog := r.selector.Catalog()
	if call.Account == nil || catalog.Config == nil || !catalog.Config.KeysRequired || catalog.Config.Version <= call.Config {
		return nil
	}
	account, allowed := catalog.Authorize(call.Route, call.Key)
	switch {
	case !allowed:
		return Unauthorized()
	case account == nil || account.Name != call.Account.Name:
		return refusal(htcall.ReasonUnauthorized, freeRetryAfter)
	}
	return nil
}

// Unauthorized returns the answer to a call without the key of an account.
func Unauthorized() *Answer {
	return &Answer{Outcome: htcall.NotRun, Reason: htcall.ReasonUnauthorized, Status: http.StatusUnauthorized}
}

// usageRefusal returns the answer to a call beyond the limit of its account.
func usageRefusal(why *htusage.Refusal) *Answer {
	return &Answer{
		Outcome: htcall.NotRun, Reason: htcall.ReasonUsageLimit, Status: http.StatusTooManyRequests, RetryAfter: why.RetryAfter,
		Trace: Trace{Usage: why},
	}
}

// mayHaveRun reports whether an upstream may have run the call that ended with an answer.
func (r *run) mayHaveRun(a *Answer) bool { return r.sends > 0 && a.Outcome != htcall.NotRun }
