package htlog

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkLine measures the cost of a line of a served call to the code that logs it, for a
// line that is written and for one that is dropped because a limit is reached.
func BenchmarkLine(b *testing.B) {
	line := func(logger *logrus.Logger) {
		logger.WithFields(logrus.Fields{
			FieldEvent: "call", FieldOutcome: "done", "request": "48cb663a1208bd2b", "status": 200, "ms": 43, "route": "r-48sj8su",
			"config": 2, "left-ms": 439, "target-ms": 200, "service": "sezi92a", "upstream": "i-3d907ef058", "sends": 1,
			"hedges": 0, "waited-ms": 0, "speed": 100, "load": 0, "age-ms": 4, "expected-ms": 80,
		}).Info("call answered")
	}
	b.Run("written", func(b *testing.B) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
		for b.Loop() {
			line(logger)
		}
	})
	b.Run("dropped", func(b *testing.B) {
		logger, l := newLogger(io.Discard)
		defer l.Close()
		for range 2 * lineBurst {
			line(logger)
		}
		for b.Loop() {
			line(logger)
		}
	})
}
