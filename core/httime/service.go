package httime

import (
	"sort"
	"sync"
	"time"
)

// Service creates subscriptions to periodic ticks. It uses the time package, so that
// it follows the virtual clock inside a testing/synctest bubble.
type Service struct {
	mu     sync.Mutex
	active map[*Subscription]struct{}
}

// New returns a Service without subscriptions.
func New() *Service {
	return &Service{active: map[*Subscription]struct{}{}}
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Subscribe returns a subscription that ticks every period. The name appears in state
// dumps. The caller must call Stop on the subscription.
func (s *Service) Subscribe(name string, period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	sub := &Subscription{Name: name, Period: period, C: ticker.C, ticker: ticker, service: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[sub] = struct{}{}
	return sub
}

// Subscriptions lists the active subscriptions by name, for state dumps.
func (s *Service) Subscriptions() []Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	infos := make([]Info, 0, len(s.active))
	for sub := range s.active {
		infos = append(infos, Info{Name: sub.Name, PeriodMS: sub.Period.Milliseconds()})
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].Name < infos[j].Name })
	return infos
}

// Info describes one subscription in a state dump.
type Info struct {
	Name     string `json:"name"`
	PeriodMS int64  `json:"period-ms"`
}

// Subscription delivers ticks on C until Stop is called. Ticks are dropped, not
// queued, if the receiver is slow.
type Subscription struct {
	Name   string
	Period time.Duration
	C      <-chan time.Time

	ticker  *time.Ticker
	service *Service
}

// Stop ends the subscription. It may be called more than once.
func (s *Subscription) Stop() {
	s.ticker.Stop()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	delete(s.service.active, s)
}
