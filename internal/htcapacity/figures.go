package htcapacity

import (
	"errors"
	"fmt"
	"math"
)

// Status is the basis of a figure.
type Status string

// The statuses of figures.
const (
	Measured     Status = "measured"
	Extrapolated Status = "extrapolated" // calculated from a fit, or from measured figures and assumptions
	Assumed      Status = "assumed"      // assumed, or stated by the requirements
)

// Figure is a named number on the page.
type Figure struct {
	Name   string
	Value  float64
	Unit   string
	Status Status
}

// figureSet holds the figures derived from a file and the joined errors of their
// derivation.
type figureSet struct {
	file    *File
	figures map[string]Figure
	err     error
}

// Figures derives the figures of the page from the measured series.
func Figures(file *File) (map[string]Figure, error) {
	s := &figureSet{file: file, figures: map[string]Figure{}}
	s.assumptions()
	s.calls()
	s.hosts()
	s.membership()
	s.table()
	s.configuration()
	s.dispatch()
	s.keys()
	return s.figures, s.err
}

func (s *figureSet) put(name string, value float64, unit string, status Status) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		s.err = errors.Join(s.err, fmt.Errorf("figure %s is %g", name, value))
	}
	s.figures[name] = Figure{Name: name, Value: value, Unit: unit, Status: status}
	return value
}

func (s *figureSet) get(name string) float64 {
	f, ok := s.figures[name]
	if !ok {
		s.err = errors.Join(s.err, fmt.Errorf("unknown figure %s", name))
	}
	return f.Value
}

func (s *figureSet) fitColumn(series, unit string) Fit {
	fit, err := s.file.FitColumn(series, unit)
	s.err = errors.Join(s.err, err)
	return fit
}

func (s *figureSet) lastValue(series, unit string) float64 {
	value, err := s.file.LastValue(series, unit)
	s.err = errors.Join(s.err, err)
	return value
}

func (s *figureSet) assumptions() {
	s.put("cores", assumedCores, "cores", Assumed)
	s.put("use", assumedUtilization*100, "%", Assumed)
	s.put("keyed-share", assumedKeyedShare*100, "%", Assumed)
	s.put("link", assumedLinkBytes, "B/s", Assumed)
	s.put("list-entry", assumedListEntryBytes, "B", Assumed)
	s.put("shards", designServices*domainsPerPool, "", Assumed)
	s.put("write-limit", limitWrites, "/s", Assumed)
	s.put("changes-per-s", float64(designChanges)/daySeconds, "/s", Assumed)
	s.put("change-every", daySeconds/float64(designChanges), "s", Assumed)
}

// calls derives the cost of a call by its path.
func (s *figureSet) calls() {
	for _, via := range callPaths[1:] {
		s.put("cpu-"+string(via), s.addedCPU(via), "us", Measured)
	}
	for _, via := range callPaths[1:] {
		for _, unit := range []string{"-p50-us", "-p99-us"} {
			added := s.median("latency", string(via)+unit) - s.median("latency", "direct"+unit)
			s.put("added-"+string(via)+unit, added, "us", Measured)
		}
	}
	s.put("direct-p99-us", s.median("latency", "direct-p99-us"), "us", Measured)
	s.put("decision-cpu", s.lastValue("decision", "cpu-us"), "us", Measured)
	s.put("lookup-cpu", s.lastValue("lookup", "cpu-us"), "us", Measured)
	s.put("route-cpu", s.fitColumn("route", "cpu-us").At(domainsPerPool), "us", Measured)
}

// addedCPU returns the CPU time in microseconds that a path adds to a direct call: the
// slope, through the origin, of the difference in CPU time against the rate. The idle
// hosts run in the same process during both measurements, so their cost cancels out.
func (s *figureSet) addedCPU(via callPath) float64 {
	rates, with := s.column("call", string(via)+"-cpu-us-per-s")
	_, direct := s.column("call", "direct-cpu-us-per-s")
	var product, square float64
	for i, rate := range rates {
		product += rate * (with[i] - direct[i])
		square += rate * rate
	}
	return product / square
}

// hosts solves an equation for the number of hosts, because the cost of a call grows with
// that number: each call computes the owner of its shard over all members.
func (s *figureSet) hosts() {
	pool, key := s.fitColumn("owner", "pool-cpu-us"), s.fitColumn("owner", "key-cpu-us")
	lookups := assumedLookups * s.get("lookup-cpu")
	base := (1-assumedKeyedShare)*s.get("cpu-forwarded") + assumedKeyedShare*s.get("cpu-keyed") + lookups + pool.Intercept + assumedKeyedShare*key.Intercept
	growth := pool.Slope + assumedKeyedShare*key.Slope
	perHost := assumedCores * assumedUtilization * 1e6 // us per second
	n := math.Ceil(designCalls * base / (perHost - designCalls*growth))
	s.put("hosts", n, "hosts", Extrapolated)
	s.put("call-cpu", base+growth*n, "us", Extrapolated)
	s.put("owner-pool-cpu", pool.At(n), "us", Extrapolated)
	s.put("owner-key-cpu", key.At(n), "us", Extrapolated)
	s.put("lookups-cpu", lookups, "us", Extrapolated)
	s.put("owner-share", (pool.At(n)+assumedKeyedShare*key.At(n)+lookups)/(base+growth*n)*100, "%", Extrapolated)
	s.put("calls-per-host", designCalls/n, "/s", Extrapolated)
	s.put("hosts-relay", math.Ceil(designCalls*s.get("cpu-relay")/perHost), "hosts", Extrapolated)
	s.put("hosts-domain", math.Ceil(n/designDomains), "hosts", Extrapolated)
	s.put("hosts-region", math.Ceil(n/designRegions), "hosts", Extrapolated)
	s.put("hosts-local", math.Ceil(designCalls*(s.get("cpu-local")+lookups)/perHost), "hosts", Extrapolated)
}

func (s *figureSet) membership() {
	n := s.get("hosts")
	bytesPerMember := s.put("beat-bytes", s.fitColumn("heartbeat", "bytes-per-s").Slope, "B/s", Measured)
	s.put("beat-datagrams", s.fitColumn("heartbeat", "datagrams-per-s").Slope, "/s", Measured)
	s.put("beat-host-bytes", 2*bytesPerMember*(n-1), "B/s", Extrapolated)
	s.put("beat-today-bytes", 2*bytesPerMember*15, "B/s", Extrapolated)
	s.put("beat-region-bytes", 2*bytesPerMember*(s.get("hosts-region")-1), "B/s", Extrapolated)
	s.put("beat-max-members", math.Floor(1+limitBytes/(2*bytesPerMember)), "members", Extrapolated)
	s.put("beat-total-messages", heartbeatsPerSecond*n*(n-1), "/s", Extrapolated)
	s.put("sparse-bytes", 2*bytesPerMember/heartbeatsPerSecond*sparseNeighbours/sparseSeconds, "B/s", Extrapolated)
	cpu := s.fitColumn("members", "cpu-us-per-s")
	s.put("member-cpu", cpu.Slope, "us/s", Measured)
	s.put("member-host-cpu", cpu.At(n), "us/s", Extrapolated)
	s.put("member-cpu-share", cpu.At(n)/1e4, "%", Extrapolated)
	s.put("member-max-cpu", math.Floor((limitCPU-cpu.Intercept)/cpu.Slope), "members", Extrapolated)
	heap := s.fitColumn("members", "heap-bytes")
	s.put("member-heap", heap.Slope, "B", Measured)
	s.put("member-host-heap", heap.At(n), "B", Extrapolated)
	s.put("member-max-heap", math.Floor((limitHeap-heap.Intercept)/heap.Slope), "members", Extrapolated)
	s.put("ownership-ms", s.fitColumn("ownership", "cpu-ms").At(n), "ms", Extrapolated)
	s.put("view-row", s.fitColumn("ownership", "view-row-bytes").At(n), "B", Extrapolated)
	changes := s.put("view-changes", 2*designDailyRestarts, "", Extrapolated)
	s.put("view-cpu", changes/daySeconds*s.get("ownership-ms")*1e3, "us/s", Extrapolated)
}

func (s *figureSet) table() {
	n := s.get("hosts")
	reads := s.put("host-reads", s.median("members", "table-reads-per-s"), "/s", Measured)
	writes := s.put("host-writes", s.median("members", "table-writes-per-s"), "/s", Measured)
	s.put("table-reads", reads*n, "/s", Extrapolated)
	s.put("table-writes", writes*n, "/s", Extrapolated)
	s.put("max-reads", math.Floor(limitReads/reads), "members", Extrapolated)
	s.put("max-writes", math.Floor(limitWrites/writes), "members", Extrapolated)
	bytes := s.fitColumn("members", "platform-bytes-per-s")
	s.put("platform-slope", bytes.Slope, "B/s", Measured)
	s.put("platform-bytes", bytes.At(n), "B/s", Extrapolated)
	s.put("platform-total", bytes.At(n)*n, "B/s", Extrapolated)
	lists := s.put("list-reads", s.median("members", "host-list-reads-per-s"), "/s", Measured)
	s.put("list-bytes", lists*(designWorkers+n)*assumedListEntryBytes, "B/s", Extrapolated)
}

// column returns the sizes and values of a unit, or nil after an error.
func (s *figureSet) column(series, unit string) (sizes, values []float64) {
	found, err := s.file.Find(series)
	if err == nil {
		sizes, values, err = found.Column(unit)
	}
	s.err = errors.Join(s.err, err)
	return sizes, values
}

// median returns the median of a unit over all sizes, for values that do not depend on
// the size.
func (s *figureSet) median(series, unit string) float64 {
	_, values := s.column(series, unit)
	return median(values)
}

func (s *figureSet) configuration() {
	n, every := s.get("hosts"), s.get("change-every")
	push := s.put("push-bytes", s.lastValue("snapshot", "push-bytes"), "B", Measured)
	rows := s.put("row-bytes", s.lastValue("snapshot", "row-bytes"), "B", Measured)
	receive := s.put("receive-ms", s.lastValue("snapshot", "receive-ms"), "ms", Measured)
	encode := s.put("encode-ms", s.lastValue("snapshot", "encode-ms"), "ms", Measured)
	s.put("diff-ms", s.lastValue("snapshot", "diff-ms"), "ms", Measured)
	s.put("load-ms", s.lastValue("snapshot", "load-ms"), "ms", Measured)
	s.put("poll-bytes", s.lastValue("snapshot", "poll-bytes"), "B", Measured)
	s.put("set-heap", s.lastValue("snapshot", "heap-bytes"), "B", Measured)
	s.put("push-total", push*(n-1), "B", Extrapolated)
	s.put("push-seconds", push*(n-1)/assumedLinkBytes, "s", Extrapolated)
	s.put("push-encode", encode*(n-1)/1e3, "s", Extrapolated)
	s.put("push-reach", math.Floor(1+pushTimeoutSeconds*assumedLinkBytes/push), "members", Extrapolated)
	s.put("scan-total", rows*n, "B", Extrapolated)
	apply := s.lastValue("memory-shard", "apply-cpu-ms")
	s.put("apply-ms", apply, "ms", Measured)
	s.put("change-bytes", push/every, "B/s", Extrapolated)
	s.put("change-cpu", (receive+apply)*1e3/every, "us/s", Extrapolated)
	s.put("delta-bytes", 2*push/designServices/every, "B/s", Extrapolated)
}

func (s *figureSet) dispatch() {
	n := s.get("hosts")
	shards := s.get("shards")
	s.put("shards-per-host", shards/n, "", Extrapolated)
	s.put("upstream-heap", s.fitColumn("memory-upstream", "heap-bytes").Slope, "B", Measured)
	s.put("shard-heap", s.fitColumn("memory-shard", "heap-bytes").Slope, "B", Measured)
	s.put("dispatch-heap", s.fitColumn("memory-shard", "heap-bytes").Slope*shards/n, "B", Extrapolated)
	tick := s.lastValue("memory-shard", "tick-cpu-us") / (designServices * domainsPerPool)
	s.put("tick-cpu", tick, "us", Measured)
	s.put("tick-host-cpu", tick*ticksPerSecond*shards/n, "us/s", Extrapolated)
	s.put("shard-calls", designCalls/shards, "/s", Extrapolated)
	local := s.get("cpu-local")
	s.put("shard-max-calls", assumedCores*assumedUtilization*1e6/local, "/s", Extrapolated)
}

func (s *figureSet) keys() {
	heap := s.put("key-heap", s.fitColumn("memory-key", "heap-bytes").Slope, "B", Measured)
	s.put("key-cpu", s.lastValue("memory-key", "cpu-us"), "us", Measured)
	rate := s.put("keyed-calls", designCalls*assumedKeyedShare, "/s", Extrapolated)
	records := s.put("key-records", rate*assumedRetentionSeconds, "", Extrapolated)
	s.put("key-total-heap", records*heap, "B", Extrapolated)
	s.put("key-owner-heap", records*heap/partitions, "B", Extrapolated)
	s.put("key-full-after", assumedPartitionRecords/(rate/partitions), "s", Extrapolated)
	s.put("key-max-calls", assumedPartitionRecords*partitions/assumedRetentionSeconds, "/s", Extrapolated)
	s.put("key-max-share", assumedPartitionRecords*partitions/assumedRetentionSeconds/designCalls*100, "%", Extrapolated)
	s.put("key-owners", math.Min(partitions, s.get("hosts"))/s.get("hosts")*100, "%", Extrapolated)
	s.put("partition-calls", rate/partitions, "/s", Extrapolated)
	s.put("unknown-per-failure", rate/partitions*takeoverSeconds, "", Extrapolated)
	s.put("domain-partitions", partitions/designDomains, "", Extrapolated)
	s.put("domain-shards", s.get("shards")/designDomains, "", Extrapolated)
	s.put("rejoin-cpu", s.get("hosts-domain")*s.get("ownership-ms")/1e3, "s", Extrapolated)
}
