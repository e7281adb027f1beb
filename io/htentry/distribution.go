package htentry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// distributionUnit is the resolution of the histograms, and longestTime the largest
	// value; longer times are recorded as it.
	distributionUnit = 100 * time.Microsecond
	longestTime      = 60 * time.Second
	// distributionDigits of a value are kept. A histogram takes 14 KB.
	distributionDigits = 2
	// maxDistributions bounds the histograms of one metric.
	maxDistributions = 64
)

// quantiles that are told of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// distributionKey holds the labels of a histogram.
type distributionKey struct{ service, outcome string }

// distributions are the histograms of one metric by service and outcome.
type distributions struct {
	name string

	mu    sync.Mutex
	byKey map[distributionKey]*distribution
}

// distribution is one histogram with the sum of its values.
type distribution struct {
	values *hdrhistogram.Histogram
	sum    time.Duration
}

func newDistributions(name string) *distributions {
	return &distributions{name: name, byKey: map[distributionKey]*distribution{}}
}

// record takes in a value. Services beyond the bound share a histogram.
func (d *distributions) record(key distributionKey, value time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := d.byKey[key]
	if one == nil {
		if len(d.byKey) >= maxDistributions {
			key.service = otherService
		}
		if one = d.byKey[key]; one == nil {
			one = &distribution{values: hdrhistogram.New(1, int64(longestTime/distributionUnit), distributionDigits)}
			d.byKey[key] = one
		}
	}
	one.sum += value
	// The value is within the range of the histogram, so no error is possible.
	_ = one.values.RecordValue(int64(min(max(value, 0), longestTime) / distributionUnit))
}

// write writes the histograms as summaries in seconds.
func (d *distributions) write(w io.Writer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(d.byKey), func(a, b distributionKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.outcome, b.outcome))
	})
	for _, key := range keys {
		one := d.byKey[key]
		labels := fmt.Sprintf("service=%q,outcome=%q", key.service, key.outcome)
		for _, q := range quantiles {
			value := time.Duration(one.values.ValueAtQuantile(100*q)) * distributionUnit
			_, _ = fmt.Fprintf(w, "%s{%s,quantile=\"%g\"} %g\n", d.name, labels, q, value.Seconds())
		}
		_, _ = fmt.Fprintf(w, "%s_sum{%s} %g\n", d.name, labels, one.sum.Seconds())
		_, _ = fmt.Fprintf(w, "%s_count{%s} %d\n", d.name, labels, one.values.TotalCount())
	}
}
