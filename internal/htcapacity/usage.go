package htcapacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// cpuTime returns the CPU time that this process has used, in user and kernel mode.
// Unlike wall-clock time it does not grow with the load of other processes, except
// through colder caches.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // fails only for an unknown first argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run frees objects that finalizers kept alive in the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// operationCost is the mean cost of one run of an operation.
type operationCost struct {
	cpuUS  float64
	allocs float64
}

// minSampleTime is the CPU time for which measureCost repeats an operation.
const minSampleTime = 300 * time.Millisecond

// measureCost repeats op until it has used enough CPU time for a stable mean, and returns
// the mean cost of one run.
func measureCost(op func()) operationCost {
	op() // fills caches and pools
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	runs := 0
	for cpuTime()-start < minSampleTime {
		for range max(1, runs/4) {
			op()
			runs++
		}
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	return operationCost{
		cpuUS:  float64(used.Nanoseconds()) / 1e3 / float64(runs),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(runs),
	}
}

// measureHeap returns the heap bytes that the result of build retains.
func measureHeap[T any](build func() T) float64 {
	before := heapBytes()
	result := build()
	after := heapBytes()
	runtime.KeepAlive(result)
	return after - before
}
