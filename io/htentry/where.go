package htentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htcall"
	"hawthornturn/core/htcatalog"
	"hawthornturn/core/htrelay"
	"hawthornturn/core/htselect"
)

// WherePath is the URL path that explains where a request would go.
const WherePath = "/where"

// Query fields of WherePath. host and path are required.
const (
	whereHost     = "host"
	wherePath     = "path"
	whereMethod   = "method"
	whereAccount  = "account"
	whereDeadline = "deadline-ms"
)

// WhereRequest is the request that is asked about. Its body counts as empty.
type WhereRequest struct {
	Host       string `json:"host"`
	Path       string `json:"path"`
	Method     string `json:"method"`
	Account    string `json:"account,omitempty"`
	DeadlineMS int64  `json:"deadline-ms,omitempty"`
}

// Query returns the request as the query of WherePath.
func (q WhereRequest) Query() url.Values {
	v := url.Values{whereHost: {q.Host}, wherePath: {q.Path}, whereMethod: {q.Method}}
	if q.Account != "" {
		v.Set(whereAccount, q.Account)
	}
	if q.DeadlineMS > 0 {
		v.Set(whereDeadline, strconv.FormatInt(q.DeadlineMS, 10))
	}
	return v
}

// parseWhere returns the request of a query.
func parseWhere(v url.Values) (WhereRequest, error) {
	q := WhereRequest{Host: v.Get(whereHost), Path: v.Get(wherePath), Method: v.Get(whereMethod), Account: v.Get(whereAccount)}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, fmt.Errorf("%s and %s are required, and the path begins with a slash", whereHost, wherePath)
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	if text := v.Get(whereDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxWhereDeadline.Milliseconds() {
			return q, fmt.Errorf("%s %q is not a number of milliseconds from 1 to %d", whereDeadline, text, maxWhereDeadline.Milliseconds())
		}
		q.DeadlineMS = ms
	}
	return q, nil
}

// maxWhereDeadline bounds the deadline of a request that is asked about.
const maxWhereDeadline = time.Hour

// Actions of a Where.
const (
	ActionSend   = "send"
	ActionWait   = "wait"
	ActionRefuse = "refuse"
)

// Where says where a request would go now, and why, by what the host knows. Times are in
// milliseconds. What does not matter for the decision, since the request is refused before, is
// left out.
type Where struct {
	Host       string          `json:"host"`
	Ready      string          `json:"ready"`
	Config     int64           `json:"config-version"`
	Request    WhereRequest    `json:"request"`
	Action     string          `json:"action"`
	Reason     htcall.Reason   `json:"reason,omitempty"`
	RetryAfter int64           `json:"retry-after-ms,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Probes     bool            `json:"probes-first,omitempty"` // no good upstream is known, so some would be probed before the choice
	WaitMS     int64           `json:"wait-ms,omitempty"`      // estimate
	Ahead      int             `json:"ahead,omitempty"`        // calls that would precede it
	Route      *WhereRoute     `json:"route,omitempty"`
	Account    *WhereAccount   `json:"account,omitempty"`
	Service    *WhereService   `json:"service,omitempty"`
	Upstreams  []WhereUpstream `json:"upstreams,omitempty"`
}

// WhereRoute is the route of a request.
type WhereRoute struct {
	Name       string      `json:"name"`
	Prefix     string      `json:"prefix"`
	Idempotent bool        `json:"idempotent"`
	Public     bool        `json:"public"`
	Priority   int         `json:"priority"` // of the call: that of its account, or of the route
	Attempts   int         `json:"attempts"`
	TimeoutMS  int64       `json:"timeout-ms"`
	TargetMS   int64       `json:"target-ms"`
	UsualMS    int64       `json:"usual-ms"` // work time
	Parts      []WherePart `json:"parts"`
}

// WherePart is a part of a route.
type WherePart struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
	Next    bool   `json:"next"` // the next call on this host goes there
}

// WhereAccount is the client account of a request.
type WhereAccount struct {
	Name           string  `json:"name"`
	LimitPerSecond float64 `json:"limit-per-second,omitempty"`
	LimitBurst     float64 `json:"limit-burst,omitempty"`
}

// WhereService is the service that the request would go to.
type WhereService struct {
	Name     string  `json:"name"`
	Waiting  int     `json:"waiting"`
	Pressure float64 `json:"pressure"`
}

// WhereUpstream is an upstream of the service and why it would or would not get the request.
type WhereUpstream struct {
	htselect.UpstreamDump
	AgeMS      int64            `json:"age-ms"` // -1 if the upstream never answered this host
	Version    string           `json:"version,omitempty"`
	Slots      int              `json:"slots"`
	Fresh      bool             `json:"fresh"`
	ExpectedMS int64            `json:"expected-ms"`
	ScoreMS    int64            `json:"score-ms,omitempty"`
	Verdict    htselect.Verdict `json:"verdict"`
}

func (e *Entry) serveWhere(w http.ResponseWriter, r *http.Request) {
	request, err := parseWhere(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.where(request)); err != nil {
		logrus.WithFields(logrus.Fields{"event": "state-not-sent"}).WithError(err).Debug("sending the explanation failed")
	}
}

// where explains a request in the order in which the parts of the host decide on it.
func (e *Entry) where(request WhereRequest) Where {
	ok, readiness := e.Ready()
	if ok {
		readiness = "ready"
	}
	catalog := e.Catalog()
	w := Where{Host: e.settings.Self.Name, Ready: readiness, Config: configVersion(catalog.Config), Request: request, Action: ActionRefuse}
	if catalog.Config == nil {
		w.Reason = htcall.ReasonNotReady
		return w
	}
	path, _, _ := strings.Cut(request.Path, "?")
	route := catalog.Match(request.Host, path)
	if route == nil {
		w.Reason = htcall.ReasonUnknownService
		return w
	}
	w.Route = whereRoute(route)
	account := accountNamed(catalog.Config, request.Account)
	if account != nil {
		w.Account = &WhereAccount{account.Name, account.Limit.PerSecond, account.Limit.Burst}
	}
	if account == nil && (request.Account != "" || catalog.Config.KeysRequired && !route.Public) {
		w.Reason = htcall.ReasonUnauthorized
		return w
	}
	w.setPreview(e.relay.Preview(e.whereCall(request, route, account)))
	return w
}

// whereCall returns the call that would be made of a request.
func (e *Entry) whereCall(request WhereRequest, route *htcatalog.Route, account *htcatalog.Account) *htrelay.Call {
	now := e.timers.Now()
	timeout := route.Timeout
	if request.DeadlineMS > 0 {
		timeout = min(timeout, time.Duration(request.DeadlineMS)*time.Millisecond)
	}
	return &htrelay.Call{
		Method: request.Method, Host: request.Host, URI: request.Path, Route: route, Account: account,
		Arrived: now, Deadline: now.Add(timeout), FirstAttempt: now,
	}
}

// accountNamed returns the declared account of that name, or nil. Accounts without a name can't be
// used.
func accountNamed(config *htcatalog.Config, name string) *htcatalog.Account {
	if name == "" {
		return nil
	}
	i := slices.IndexFunc(config.Accounts, func(a htcatalog.Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &config.Accounts[i]
}

func whereRoute(r *htcatalog.Route) *WhereRoute {
	return &WhereRoute{
		Name: r.Name, Prefix: r.Prefix, Idempotent: r.Idempotent, Public: r.Public, Priority: r.Priority, Attempts: r.Attempts,
		TimeoutMS: r.Timeout.Milliseconds(), TargetMS: r.Target.Milliseconds(),
	}
}

// setPreview adds what the relay would do.
func (w *Where) setPreview(p htrelay.Preview) {
	w.Route.Priority, w.Route.UsualMS = p.Priority, p.Usual.Milliseconds()
	for _, part := range p.Parts {
		w.Route.Parts = append(w.Route.Parts, WherePart(part))
	}
	w.Service = &WhereService{p.Service, p.Waiting, p.Pressure}
	for _, u := range p.Upstreams {
		w.Upstreams = append(w.Upstreams, WhereUpstream{
			UpstreamDump: u.UpstreamDump, AgeMS: milliseconds(u.Age), Version: u.Version, Slots: u.Slots, Fresh: u.Fresh,
			ExpectedMS: u.Expected.Milliseconds(), ScoreMS: u.Score.Milliseconds(), Verdict: u.Verdict,
		})
	}
	switch f := p.Forecast.(type) {
	case htrelay.WouldSend:
		w.Action, w.Upstream, w.Probes = ActionSend, f.Choice.Upstream.ID, f.Probes
	case htrelay.WouldWait:
		w.Action, w.Reason, w.Ahead, w.WaitMS = ActionWait, f.Reason, f.Ahead, f.Estimate.Milliseconds()
		w.Probes = true
		if f.Choice != nil {
			w.Upstream = f.Choice.Upstream.ID
		}
	case htrelay.WouldRefuse:
		w.Reason, w.RetryAfter = f.Reason, f.RetryAfter.Milliseconds()
	}
}
