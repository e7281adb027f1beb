package htrelay

import "hawthornturn/core/htcatalog"

const (
	// answerSizeWeight is the weight of the newest answer in the mean size of answers.
	answerSizeWeight = 0.1
	// maxAnswerSizes bounds the routes whose sizes are kept: configurations may rename them.
	maxAnswerSizes = 4096
)

// answerSizes estimates the memory that answers take. It is not safe for concurrent use.
type answerSizes struct {
	byRoute map[string]float64 // mean bytes by the name of the route
	all     float64            // mean bytes of the answers of all routes
}

// record records the memory in bytes that an answer took.
func (s *answerSizes) record(route *htcatalog.Route, bytes int64) {
	mean, known := s.byRoute[route.Name]
	if !known {
		mean = float64(bytes)
		if len(s.byRoute) >= maxAnswerSizes {
			clear(s.byRoute)
		}
	}
	s.byRoute[route.Name] = mean + answerSizeWeight*(float64(bytes)-mean)
	s.all += answerSizeWeight * (float64(bytes) - s.all)
}

// expected returns the memory in bytes that an answer is expected to take, which is that of the other
// routes until the route has had one.
func (s *answerSizes) expected(route *htcatalog.Route) int64 {
	if mean, known := s.byRoute[route.Name]; known {
		return int64(mean)
	}
	return int64(s.all)
}
