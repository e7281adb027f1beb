package htcapacity

import "hawthornturn/core/htview"

// The design size of docs/design.md, section 1.6, and the limits at that size.
const (
	designCalls         = 2.2e6 // calls per second, including nested calls
	designRegions       = 7
	designChanges       = 16000     // changes of the declared state per day
	designDailyRestarts = 31 + 2500 // host failures, and restarts or replacements, per day
	daySeconds          = 86400

	limitCPU    = 43000.0   // us per second: 4.3% of a core
	limitHeap   = 256 << 20 // bytes
	limitBytes  = 4096.0    // bytes per second
	limitReads  = 2000.0    // reads per second
	limitWrites = 300.0     // writes per second; the requirement says "several hundred"
)

// partitions is the number of key partitions.
const partitions = float64(htview.KeyPartitions)

// Assumed values, which are not measured.
const (
	assumedCores            = 8.0   // cores of an entry host
	assumedUtilization      = 0.6   // share of the cores that calls may use
	assumedKeyedShare       = 0.1   // share of the calls that carry a key
	assumedLookups          = 2.0   // lookups in the declared state per call, each at the cost given by the lookup series
	assumedLinkBytes        = 125e6 // bytes per second of an entry host's network link
	assumedListEntryBytes   = 60.0  // size of a host list entry
	assumedRetentionSeconds = 600.0 // retention time of key records (key-retention)
	assumedPartitionRecords = 65536 // maximum number of key records per partition
	pushTimeoutSeconds      = 1.0   // how long a host that accepts a change waits for its pushes
	ticksPerSecond          = 200.0 // timer runs of a dispatcher
	sparseNeighbours        = 3.0   // neighbours per host with the proposed heartbeats
	sparseSeconds           = 2.0   // period of the proposed heartbeats
	heartbeatsPerSecond     = 2.0
	takeoverSeconds         = 8.0 // how long the key partitions of a failed host answer unknown, section 11
)
