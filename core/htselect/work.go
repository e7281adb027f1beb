package htselect

import "time"

const (
	// workWeight is the weight of the newest work time in the average.
	workWeight = 0.05
	// initialWorkShare is the fraction of a route's target that is assumed as its work time
	// until one was measured.
	initialWorkShare = 0.4
)

// work tracks the average work time and answer size of a route on an upstream of usual
// speed.
type work struct {
	mean  float64 // nanoseconds
	bytes float64
	count int
}

func newWork(target time.Duration) *work {
	return &work{mean: float64(target) * initialWorkShare}
}

// add records an answer's size and its work time, normalised by the work time factor
// expected when the call was sent.
func (w *work) add(took time.Duration, workTimeFactor float64, bytes int) {
	normal := float64(took) / max(workTimeFactor, 0.2)
	w.count++
	share := max(workWeight, 1/float64(w.count+2))
	// An outlier is more likely caused by the upstream than by the route.
	normal = min(normal, 4*w.mean)
	w.mean += share * (normal - w.mean)
	w.bytes += share * (float64(bytes) - w.bytes)
}
