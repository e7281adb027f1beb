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
	// histogramResolution is the resolution of the histograms. maxHistogramValue is their largest
	// value; longer times are recorded as this value.
	histogramResolution = 100 * time.Microsecond
	maxHistogramValue   = 60 * time.Second
	// histogramDigits is the number of significant digits kept. A histogram takes 14 KB.
	histogramDigits = 2
	// maxHistograms bounds the number of histograms of one metric.
	maxHistograms = 64
)

// quantiles are those that are reported of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// histogramKey holds the labels of a histogram.
type histogramKey struct{ service, outcome string }

// histogramSet holds the histograms of one metric by service and outcome.
type histogramSet struct {
	name string

	mu         sync.Mutex
	histograms map[histogramKey]*histogram
}

// histogram is one histogram with the sum of its values.
type histogram struct {
	values *hdrhistogram.Histogram
	sum    time.Duration
}

func newHistogramSet(name string) *histogramSet {
	return &histogramSet{name: name, histograms: map[histogramKey]*histogram{}}
}

// record records a value. Services beyond maxHistograms share a histogram for each outcome.
func (s *histogramSet) record(key histogramKey, value time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[key]
	if h == nil {
		if len(s.histograms) >= maxHistograms {
			key.service = otherService
		}
		if h = s.histograms[key]; h == nil {
			h = &histogram{values: hdrhistogram.New(1, int64(maxHistogramValue/histogramResolution), histogramDigits)}
			s.histograms[key] = h
		}
	}
	h.sum += value
	// The value is within the range of the histogram, so no error is possible.
	_ = h.values.RecordValue(int64(min(max(value, 0), maxHistogramValue) / histogramResolution))
}

// write writes the histograms as summaries in seconds.
func (s *histogramSet) write(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(s.histograms), func(a, b histogramKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.outcome, b.outcome))
	})
	for _, key := range keys {
		h := s.histograms[key]
		labels := fmt.Sprintf("service=%q,outcome=%q", key.service, key.outcome)
		for _, q := range quantiles {
			value := time.Duration(h.values.ValueAtQuantile(100*q)) * histogramResolution
			_, _ = fmt.Fprintf(w, "%s{%s,quantile=\"%g\"} %g\n", s.name, labels, q, value.Seconds())
		}
		_, _ = fmt.Fprintf(w, "%s_sum{%s} %g\n", s.name, labels, h.sum.Seconds())
		_, _ = fmt.Fprintf(w, "%s_count{%s} %d\n", s.name, labels, h.values.TotalCount())
	}
}
