package htcapacity

import (
	"errors"
	"fmt"
	"math"
)

// Status says what a figure rests on.
type Status string

// The kinds of figures.
const (
	Measured     Status = "measured"
	Extrapolated Status = "extrapolated" // a fit or a product of measured figures and assumptions
	Assumed      Status = "assumed"      // also what the requirements state
)

// Figure is a number of the page.
type Figure struct {
	Name   string
	Value  float64
	Unit   string
	Status Status
}

// sheet derives figures from a file. It keeps the first error.
type sheet struct {
	file    *File
	figures map[string]Figure
	failed  error
}

// Figures derives the figures of the page from the measured series.
func Figures(file *File) (map[string]Figure, error) {
	s := &sheet{file: file, figures: map[string]Figure{}}
	s.assumptions()
	s.calls()
	s.hosts()
	s.membership()
	s.table()
	s.configuration()
	s.dispatch()
	s.keys()
	return s.figures, s.failed
}

func (s *sheet) put(name string, value float64, unit string, status Status) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		s.failed = errors.Join(s.failed, fmt.Errorf("figure %s is %g", name, value))
	}
	s.figures[name] = Figure{Name: name, Value: value, Unit: unit, Status: status}
	return value
}

func (s *sheet) get(name string) float64 {
	f, ok := s.figures[name]
	if !ok {
		s.failed = errors.Join(s.failed, fmt.Errorf("no figure %s", name))
	}
	return f.Value
}

func (s *sheet) line(series, unit string) Fit {
	fit, err := s.file.FitColumn(series, unit)
	s.failed = errors.Join(s.failed, err)
	return fit
}

func (s *sheet) last(series, unit string) float64 {
	value, err := s.file.LastValue(series, unit)
	s.failed = errors.Join(s.failed, err)
	return value
}

func (s *sheet) assumptions() {
	s.put("cores", assumedCores, "cores", Assumed)
	s.put("use", assumedUse*100, "%", Assumed)
	s.put("keyed-share", assumedKeyed*100, "%", Assumed)
	s.put("link", assumedLink, "B/s", Assumed)
	s.put("list-entry", assumedListEntry, "B", Assumed)
	s.put("shards", designServices*domainsPerPool, "", Assumed)
	s.put("write-limit", limitWrites, "/s", Assumed)
	s.put("changes-per-s", float64(designChanges)/daySeconds, "/s", Assumed)
	s.put("change-every", daySeconds/float64(designChanges), "s", Assumed)
}

// calls derives what a call costs by its way.
func (s *sheet) calls() {
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
	s.put("decision-cpu", s.last("decision", "cpu-us"), "us", Measured)
	s.put("lookup-cpu", s.last("lookup", "cpu-us"), "us", Measured)
	s.put("route-cpu", s.line("route", "cpu-us").At(domainsPerPool), "us", Measured)
}

// addedCPU returns the CPU time that a path adds to the direct call: the slope,
// through the origin, of the difference at each rate. The idle hosts run in the same
// process during both, so they cancel out.
func (s *sheet) addedCPU(via path) float64 {
	rates, with := s.column("call", string(via)+"-cpu-us-per-s")
	_, direct := s.column("call", "direct-cpu-us-per-s")
	var product, square float64
	for i, rate := range rates {
		product += rate * (with[i] - direct[i])
		square += rate * rate
	}
	return product / square
}

// hosts solves for the number of hosts, because the cost of a call grows with it:
// each call computes the owner of its shard over all members.
func (s *sheet) hosts() {
	pool, key := s.line("owner", "pool-cpu-us"), s.line("owner", "key-cpu-us")
	lookups := assumedLookups * s.get("lookup-cpu")
	base := (1-assumedKeyed)*s.get("cpu-forwarded") + assumedKeyed*s.get("cpu-keyed") + lookups + pool.Intercept + assumedKeyed*key.Intercept
	growth := pool.Slope + assumedKeyed*key.Slope
	perHost := assumedCores * assumedUse * 1e6 // us a second
	n := math.Ceil(designCalls * base / (perHost - designCalls*growth))
	s.put("hosts", n, "hosts", Extrapolated)
	s.put("call-cpu", base+growth*n, "us", Extrapolated)
	s.put("owner-pool-cpu", pool.At(n), "us", Extrapolated)
	s.put("owner-key-cpu", key.At(n), "us", Extrapolated)
	s.put("lookups-cpu", lookups, "us", Extrapolated)
	s.put("owner-share", (pool.At(n)+assumedKeyed*key.At(n)+lookups)/(base+growth*n)*100, "%", Extrapolated)
	s.put("calls-per-host", designCalls/n, "/s", Extrapolated)
	s.put("hosts-relay", math.Ceil(designCalls*s.get("cpu-relay")/perHost), "hosts", Extrapolated)
	s.put("hosts-domain", math.Ceil(n/designDomains), "hosts", Extrapolated)
	s.put("hosts-region", math.Ceil(n/designRegions), "hosts", Extrapolated)
	s.put("hosts-local", math.Ceil(designCalls*(s.get("cpu-local")+lookups)/perHost), "hosts", Extrapolated)
}

func (s *sheet) membership() {
	n := s.get("hosts")
	wire := s.put("beat-bytes", s.line("heartbeat", "bytes-per-s").Slope, "B/s", Measured)
	s.put("beat-datagrams", s.line("heartbeat", "datagrams-per-s").Slope, "/s", Measured)
	s.put("beat-host-bytes", 2*wire*(n-1), "B/s", Extrapolated)
	s.put("beat-today-bytes", 2*wire*15, "B/s", Extrapolated)
	s.put("beat-region-bytes", 2*wire*(s.get("hosts-region")-1), "B/s", Extrapolated)
	s.put("beat-max-members", math.Floor(1+limitBytes/(2*wire)), "members", Extrapolated)
	s.put("beat-total-messages", heartbeatsASecond*n*(n-1), "/s", Extrapolated)
	s.put("sparse-bytes", 2*wire/heartbeatsASecond*sparseNeighbours/sparseSeconds, "B/s", Extrapolated)
	cpu := s.line("members", "cpu-us-per-s")
	s.put("member-cpu", cpu.Slope, "us/s", Measured)
	s.put("member-host-cpu", cpu.At(n), "us/s", Extrapolated)
	s.put("member-cpu-share", cpu.At(n)/1e4, "%", Extrapolated)
	s.put("member-max-cpu", math.Floor((limitCPU-cpu.Intercept)/cpu.Slope), "members", Extrapolated)
	heap := s.line("members", "heap-bytes")
	s.put("member-heap", heap.Slope, "B", Measured)
	s.put("member-host-heap", heap.At(n), "B", Extrapolated)
	s.put("member-max-heap", math.Floor((limitHeap-heap.Intercept)/heap.Slope), "members", Extrapolated)
	s.put("ownership-ms", s.line("ownership", "cpu-ms").At(n), "ms", Extrapolated)
	s.put("view-row", s.line("ownership", "view-row-bytes").At(n), "B", Extrapolated)
	changes := s.put("view-changes", 2*designEnds, "", Extrapolated)
	s.put("view-cpu", changes/daySeconds*s.get("ownership-ms")*1e3, "us/s", Extrapolated)
}

func (s *sheet) table() {
	n := s.get("hosts")
	reads := s.put("host-reads", s.median("members", "table-reads-per-s"), "/s", Measured)
	writes := s.put("host-writes", s.median("members", "table-writes-per-s"), "/s", Measured)
	s.put("table-reads", reads*n, "/s", Extrapolated)
	s.put("table-writes", writes*n, "/s", Extrapolated)
	s.put("max-reads", math.Floor(limitReads/reads), "members", Extrapolated)
	s.put("max-writes", math.Floor(limitWrites/writes), "members", Extrapolated)
	bytes := s.line("members", "platform-bytes-per-s")
	s.put("platform-slope", bytes.Slope, "B/s", Measured)
	s.put("platform-bytes", bytes.At(n), "B/s", Extrapolated)
	s.put("platform-total", bytes.At(n)*n, "B/s", Extrapolated)
	lists := s.put("list-reads", s.median("members", "host-list-reads-per-s"), "/s", Measured)
	s.put("list-bytes", lists*(designWorkers+n)*assumedListEntry, "B/s", Extrapolated)
}

// column returns the sizes and values of a unit, or none after an error.
func (s *sheet) column(series, unit string) (sizes, values []float64) {
	found, err := s.file.Find(series)
	if err == nil {
		sizes, values, err = found.Column(unit)
	}
	s.failed = errors.Join(s.failed, err)
	return sizes, values
}

// median stands for a value that does not depend on the size.
func (s *sheet) median(series, unit string) float64 {
	_, values := s.column(series, unit)
	return median(values)
}

func (s *sheet) configuration() {
	n, every := s.get("hosts"), s.get("change-every")
	push := s.put("push-bytes", s.last("snapshot", "push-bytes"), "B", Measured)
	rows := s.put("row-bytes", s.last("snapshot", "row-bytes"), "B", Measured)
	receive := s.put("receive-ms", s.last("snapshot", "receive-ms"), "ms", Measured)
	encode := s.put("encode-ms", s.last("snapshot", "encode-ms"), "ms", Measured)
	s.put("diff-ms", s.last("snapshot", "diff-ms"), "ms", Measured)
	s.put("load-ms", s.last("snapshot", "load-ms"), "ms", Measured)
	s.put("poll-bytes", s.last("snapshot", "poll-bytes"), "B", Measured)
	s.put("set-heap", s.last("snapshot", "heap-bytes"), "B", Measured)
	s.put("push-total", push*(n-1), "B", Extrapolated)
	s.put("push-seconds", push*(n-1)/assumedLink, "s", Extrapolated)
	s.put("push-encode", encode*(n-1)/1e3, "s", Extrapolated)
	s.put("push-reach", math.Floor(1+pushWait*assumedLink/push), "members", Extrapolated)
	s.put("scan-total", rows*n, "B", Extrapolated)
	apply := s.last("memory-shard", "apply-cpu-ms")
	s.put("apply-ms", apply, "ms", Measured)
	s.put("change-bytes", push/every, "B/s", Extrapolated)
	s.put("change-cpu", (receive+apply)*1e3/every, "us/s", Extrapolated)
	s.put("delta-bytes", 2*push/designServices/every, "B/s", Extrapolated)
}

func (s *sheet) dispatch() {
	n := s.get("hosts")
	shards := s.get("shards")
	s.put("shards-per-host", shards/n, "", Extrapolated)
	s.put("upstream-heap", s.line("memory-upstream", "heap-bytes").Slope, "B", Measured)
	s.put("shard-heap", s.line("memory-shard", "heap-bytes").Slope, "B", Measured)
	s.put("dispatch-heap", s.line("memory-shard", "heap-bytes").Slope*shards/n, "B", Extrapolated)
	tick := s.last("memory-shard", "tick-cpu-us") / (designServices * domainsPerPool)
	s.put("tick-cpu", tick, "us", Measured)
	s.put("tick-host-cpu", tick*ticksPerSecond*shards/n, "us/s", Extrapolated)
	s.put("shard-calls", designCalls/shards, "/s", Extrapolated)
	local := s.get("cpu-local")
	s.put("shard-max-calls", assumedCores*assumedUse*1e6/local, "/s", Extrapolated)
}

func (s *sheet) keys() {
	heap := s.put("key-heap", s.line("memory-key", "heap-bytes").Slope, "B", Measured)
	s.put("key-cpu", s.last("memory-key", "cpu-us"), "us", Measured)
	rate := s.put("keyed-calls", designCalls*assumedKeyed, "/s", Extrapolated)
	records := s.put("key-records", rate*assumedRetention, "", Extrapolated)
	s.put("key-total-heap", records*heap, "B", Extrapolated)
	s.put("key-owner-heap", records*heap/partitions, "B", Extrapolated)
	s.put("key-full-after", assumedRecords/(rate/partitions), "s", Extrapolated)
	s.put("key-max-calls", assumedRecords*partitions/assumedRetention, "/s", Extrapolated)
	s.put("key-max-share", assumedRecords*partitions/assumedRetention/designCalls*100, "%", Extrapolated)
	s.put("key-owners", math.Min(partitions, s.get("hosts"))/s.get("hosts")*100, "%", Extrapolated)
	s.put("partition-calls", rate/partitions, "/s", Extrapolated)
	s.put("unknown-per-failure", rate/partitions*takeoverSeconds, "", Extrapolated)
	s.put("domain-partitions", partitions/designDomains, "", Extrapolated)
	s.put("domain-shards", s.get("shards")/designDomains, "", Extrapolated)
	s.put("rejoin-cpu", s.get("hosts-domain")*s.get("ownership-ms")/1e3, "s", Extrapolated)
}
