package htconfig

// Status says whether a revision is in force, that is, applied by every host that may
// still send requests to upstreams.
type Status struct {
	Revision uint64         `json:"revision" cbor:"revision"`
	Applied  uint64         `json:"applied" cbor:"applied"` // by the host that reports this status
	InForce  bool           `json:"in-force" cbor:"in-force"`
	Behind   []HostRevision `json:"behind" cbor:"behind"` // hosts that may send requests under an older revision
}

// RevisionStatus returns the status of a revision. Revision 0 stands for the newest
// revision that this host has applied.
func (f *Follower) RevisionStatus(revision uint64) Status {
	applied := f.Applied()
	if revision == 0 {
		revision = applied
	}
	s := Status{Revision: revision, Applied: applied, Behind: []HostRevision{}}
	if !f.Ready() || applied < revision {
		s.Behind = append(s.Behind, HostRevision{Host: f.name, Applied: applied})
	}
	for _, h := range f.hosts.Others() {
		if h.Applied < revision {
			s.Behind = append(s.Behind, h)
		}
	}
	s.InForce = len(s.Behind) == 0
	return s
}
