package htdispatch

import "time"

// minSampleWeight is the weight of a response in the moving estimates once there are at
// least 32 responses. Before that, the weight is one over their number.
const minSampleWeight = 1.0 / 32

// coldWeightFactor is the factor on that weight for responses of cold upstreams. It is
// small, so that an upstream in cold start does not shift the estimate, but not zero, so
// that the estimate follows a lasting change of the work itself.
const coldWeightFactor = 1.0 / 8

// minSamples is the number of responses above which coldWeightFactor and
// maxColdSampleRatio apply. Up to it, all upstreams may be cold.
const minSamples = 32

// tailQuantile is the quantile estimated as the measure of ordinary variance.
const tailQuantile = 0.99

// tailToMean is the tail quantile of an exponential distribution divided by its mean,
// -ln(1-tailQuantile).
const tailToMean = 4.605

// maxColdSampleRatio caps the work time of one response of a cold upstream, as a multiple
// of the mean.
const maxColdSampleRatio = 3

// workClass identifies the requests that share a work time estimate.
type workClass struct {
	service    string
	idempotent bool
}

// workTimeEstimate is a moving estimate of the work times of a class of requests.
type workTimeEstimate struct {
	samples int
	mean    float64 // nanoseconds
	p99     float64 // nanoseconds; estimate of tailQuantile
}

// observe updates the estimate with the work time of one response; warm is the state of
// the upstream.
func (w *workTimeEstimate) observe(work time.Duration, warm bool) {
	x := float64(max(work, time.Microsecond))
	w.samples++
	if w.samples == 1 {
		w.mean, w.p99 = x, x*tailToMean
		return
	}
	weight := max(minSampleWeight, 1/float64(w.samples))
	if !warm && w.samples > minSamples {
		weight *= coldWeightFactor
		x = min(x, maxColdSampleRatio*w.mean)
	}
	w.mean += weight * (x - w.mean)
	step := weight * w.mean
	if x > w.p99 {
		w.p99 += step * tailQuantile * tailToMean
	} else {
		w.p99 -= step * (1 - tailQuantile) * tailToMean
	}
	w.p99 = max(w.p99, w.mean)
}

// referenceTime returns the reference that work times are compared to, in nanoseconds.
// It is the mean if the tail is no longer than that of an exponential distribution, and
// higher for longer tails, so that a long tail alone is not classified as a cold
// upstream.
func (w *workTimeEstimate) referenceTime() float64 {
	return max(w.mean, w.p99/tailToMean)
}

func (w *workTimeEstimate) meanDuration() time.Duration { return time.Duration(w.mean) }
