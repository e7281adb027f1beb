package htahead

const (
	// MaxStarted is the number of requests of one connection that are started before their
	// turn and not yet answered.
	MaxStarted = 4
	// MaxFields is the most header fields of a request that is started before its turn. A field
	// takes much more memory once it is parsed than it has bytes.
	MaxFields = 64
	// maxMemoryShare is the used share of the memory for bodies from which no request is
	// started before its turn: its answer is held until the ones in front have been read.
	maxMemoryShare = 0.5
	// maxDescriptorShare is the most of the descriptors that requests started before their turn may
	// take. Each takes one, for its upstream, beside those of its connection.
	maxDescriptorShare = 0.1
)

// Load is what decides whether one more request is started before its turn.
type Load struct {
	Started         int     // requests of its connection that were started before their turn
	Stopping        bool    // the host is in a planned stop
	MemoryShare     float64 // used share of the memory for bodies
	DescriptorShare float64 // share of the descriptors that started requests of all connections take, with this one
	Short           bool    // its service is short of upstreams
}

// Refusal is the reason why a request is not started before its turn.
type Refusal string

// Reasons of refusals.
const (
	Allowed            Refusal = ""
	RefusedConnection  Refusal = "connection" // MaxStarted is reached
	RefusedStopping    Refusal = "stopping"
	RefusedMemory      Refusal = "memory"
	RefusedDescriptors Refusal = "descriptors"
	RefusedShort       Refusal = "short"
)

// Decide reports whether a request is started before its turn. Upstreams that are short go to the
// callers in order: no connection has more than one request in the queue of a service that others
// need.
func Decide(l Load) Refusal {
	switch {
	case l.Stopping:
		return RefusedStopping
	case l.Started >= MaxStarted:
		return RefusedConnection
	case l.MemoryShare >= maxMemoryShare:
		return RefusedMemory
	case l.DescriptorShare > maxDescriptorShare:
		return RefusedDescriptors
	case l.Short:
		return RefusedShort
	}
	return Allowed
}
