package htlab

import (
	"fmt"
	"io/fs"
	"time"

	"hawthornturn/core/htresource"
	"hawthornturn/examples"
)

// Workload is one of the workloads in the examples directory.
type Workload struct {
	Name  string
	Hosts int           // number of entry hosts
	Work  time.Duration // mean work time of a request
	// Weights of lookups and bookings among its calls.
	Lookups  int
	Bookings int
}

// Workloads lists the workloads that the examples declare.
var Workloads = []Workload{
	{Name: "sabarmati", Hosts: 16, Work: 20 * time.Millisecond, Lookups: 9, Bookings: 1},
	{Name: "caroni", Hosts: 14, Work: 20 * time.Millisecond, Lookups: 9, Bookings: 1},
}

// FindWorkload returns the workload with the name, or an error if there is none.
func FindWorkload(name string) (Workload, error) {
	for _, w := range Workloads {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("unknown workload %q", name)
}

// Declarations returns the workload's declared state.
func (w Workload) Declarations() (*htresource.Set, error) {
	dir, err := fs.Sub(examples.Files, w.Name+"/declarations")
	if err != nil {
		return nil, err
	}
	set, findings := htresource.LoadDir(dir)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &set, nil
}

// capacity returns the number of calls per second that keeps all slots of a service's
// upstreams busy.
func (w Workload) capacity(set *htresource.Set, service htresource.Service) float64 {
	pool, _ := set.Pool(service.Pool)
	slots := 0
	for _, u := range pool.Upstreams {
		slots += u.Slots
	}
	return float64(slots) / w.Work.Seconds()
}
