package htexplain

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"hawthornturn/core/htcall"
)

// minuteFormat is the format of a minute of a day, in the time zone of the logs.
const minuteFormat = "15:04"

// AccountRefusals are the refused calls of an account in one minute that have the same reason,
// service and class.
type AccountRefusals struct {
	Reason  string
	Service string
	Class   string
	Calls   int
	Hosts   int
	Example string // id of one of the requests
	// MostUse and LeastShare are what the account used at the most and might use at the least, in
	// percent of its usual load; OldestPicture is the age in ms of the demand on all hosts by which it
	// was judged. They are negative if no line names them.
	MostUse       int64
	LeastShare    int64
	OldestPicture int64
}

// AccountMinute returns the refused calls of an account in a minute of a day, such as 10:04, the
// most frequent ones first, and the number of its calls with another outcome. Hosts drop lines in
// overload, so the numbers are lower bounds.
func AccountMinute(sources []Source, account, minute string) (refused []AccountRefusals, others int, err error) {
	type key struct{ reason, service, class string }
	found := map[key]*AccountRefusals{}
	hosts := map[key]map[string]bool{}
	_, err = scan(sources, []string{"account=" + account, "account=\"" + account}, func(l Line) {
		if l.Event != "call" || l.Fields["account"] != account || l.Time.Format(minuteFormat) != minute {
			return
		}
		if htcall.Outcome(l.Fields["outcome"]) != htcall.NotRun {
			others++
			return
		}
		k := key{l.Fields["reason"], l.Fields["service"], l.Fields["class"]}
		r := found[k]
		if r == nil {
			r = &AccountRefusals{Reason: k.reason, Service: k.service, Class: k.class, Example: l.Fields[fieldRequest], MostUse: -1, LeastShare: math.MaxInt64, OldestPicture: -1}
			found[k], hosts[k] = r, map[string]bool{}
		}
		r.Calls++
		hosts[k][l.Host] = true
		r.MostUse = max(r.MostUse, l.number("use"))
		r.OldestPicture = max(r.OldestPicture, l.number("picture-age-ms"))
		if share := l.number("share"); share >= 0 {
			r.LeastShare = min(r.LeastShare, share)
		}
	})
	for k, r := range found {
		r.Hosts = len(hosts[k])
		if r.LeastShare == math.MaxInt64 {
			r.LeastShare = -1
		}
	}
	for _, r := range slices.SortedFunc(maps.Values(found), func(a, b *AccountRefusals) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Reason+a.Service+a.Class, b.Reason+b.Service+b.Class))
	}) {
		refused = append(refused, *r)
	}
	return refused, others, err
}
