package htselect

import "time"

const (
	// workShare is the weight of the newest work time in the average.
	workShare = 0.05
	// initialWorkShare of a route's target is assumed until work was measured.
	initialWorkShare = 0.4
)

// work tracks the work time and the answer size of a route at usual speed.
type work struct {
	mean  float64 // nanoseconds
	bytes float64
	count int
}

func newWork(target time.Duration) *work {
	return &work{mean: float64(target) * initialWorkShare}
}

// add takes in the work time of an answer, divided by the speed at its start.
func (w *work) add(took time.Duration, speed float64, bytes int) {
	normal := float64(took) / max(speed, 0.2)
	w.count++
	share := max(workShare, 1/float64(w.count+2))
	// An outlier says more about the upstream than about the route.
	normal = min(normal, 4*w.mean)
	w.mean += share * (normal - w.mean)
	w.bytes += share * (float64(bytes) - w.bytes)
}
