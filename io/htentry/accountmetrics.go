package htentry

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"hawthornturn/core/htcall"
)

const (
	// maxAccountSeries bounds the accounts that are counted by name: those with the most calls.
	// All others are counted under otherAccounts.
	maxAccountSeries = 32
	otherAccounts    = "other accounts" // no name of an account, which has no spaces
	// accountWindow is the time after which the accounts that are counted by name are chosen anew.
	accountWindow = 10 * time.Second
)

// accountResult is a result of calls, by which they are counted.
type accountResult struct {
	outcome htcall.Outcome
	reason  htcall.Reason
}

// accountCounts counts the calls of the largest accounts by name. An account that is no longer
// among them is added to the others, so that no counter falls.
type accountCounts struct {
	mu        sync.Mutex
	named     map[string]map[accountResult]int64
	others    map[accountResult]int64
	window    map[string]int64 // calls by account since windowEnd less accountWindow
	windowEnd time.Time
}

func newAccountCounts() *accountCounts {
	return &accountCounts{
		named:  map[string]map[accountResult]int64{},
		others: map[accountResult]int64{},
		window: map[string]int64{},
	}
}

// record counts a call of an account.
func (c *accountCounts) record(now time.Time, account string, result accountResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.windowEnd) {
		c.chooseNamed()
		c.windowEnd = now.Add(accountWindow)
	}
	c.window[account]++
	counts := c.named[account]
	if counts == nil && len(c.named) < maxAccountSeries {
		counts = map[accountResult]int64{}
		c.named[account] = counts
	}
	if counts == nil {
		counts = c.others
	}
	counts[result]++
}

// chooseNamed makes room for the accounts with the most calls of the last window.
func (c *accountCounts) chooseNamed() {
	largest := make([]string, 0, len(c.window))
	for account := range c.window {
		largest = append(largest, account)
	}
	slices.SortFunc(largest, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.window[b], c.window[a]), cmp.Compare(a, b))
	})
	largest = largest[:min(len(largest), maxAccountSeries)]
	for _, account := range largest {
		if c.named[account] != nil {
			continue
		}
		if len(c.named) >= maxAccountSeries {
			c.dropSmallest()
		}
		c.named[account] = map[accountResult]int64{}
	}
	c.window = make(map[string]int64, len(c.window))
}

// dropSmallest counts the named account with the fewest calls of the last window with the others.
func (c *accountCounts) dropSmallest() {
	smallest := ""
	for account := range c.named {
		if smallest == "" || cmp.Or(cmp.Compare(c.window[account], c.window[smallest]), cmp.Compare(account, smallest)) < 0 {
			smallest = account
		}
	}
	for result, n := range c.named[smallest] {
		c.others[result] += n
	}
	delete(c.named, smallest)
}

// write writes the counts in the Prometheus text format.
func (c *accountCounts) write(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	add := func(account string, counts map[accountResult]int64) {
		for result, n := range counts {
			lines = append(lines, fmt.Sprintf("hawthornturn_account_calls_total{account=%q,outcome=%q,reason=%q} %d\n", account, result.outcome, reasonLabel(result.reason), n))
		}
	}
	for account, counts := range c.named {
		add(account, counts)
	}
	add(otherAccounts, c.others)
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = io.WriteString(w, l)
	}
}

// reasonLabel returns the label of a reason, which is not empty.
func reasonLabel(reason htcall.Reason) htcall.Reason {
	if reason == htcall.ReasonNone {
		return "none"
	}
	return reason
}
