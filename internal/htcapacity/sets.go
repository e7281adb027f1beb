package htcapacity

import (
	"fmt"

	"hawthornturn/core/htresource"
	"hawthornturn/core/htview"
)

// Shape of the declared state at the design size of docs/design.md, section 1.6.
const (
	designWorkers  = 19000
	designServices = 1300
	designDomains  = 18
	domainsPerPool = 3 // assumed; 1,300 pools then have 3,900 shards
	slotsPerWorker = 3
)

// serviceSizes are the numbers of services at which declared states are measured.
var serviceSizes = []int{100, 300, 650, designServices}

// declaredSet returns a declared state with one pool and one rule per service and with
// upstreams in the proportion of the design size.
func declaredSet(services int) *htresource.Set {
	set := &htresource.Set{Revision: 1}
	for i := range designDomains {
		set.Domains = append(set.Domains, htresource.FailureDomain{
			Name: domainName(i), Region: fmt.Sprintf("region-%d", i%7), State: htresource.DomainIn,
		})
	}
	worker := 0
	for i := range services {
		name := fmt.Sprintf("service-%04d", i)
		pool := htresource.Pool{Name: name, ColdLimit: 1, ProbesPerSec: 1, QueueLimit: 64, MaxConnections: 200}
		for worker < (i+1)*designWorkers/designServices {
			pool.Upstreams = append(pool.Upstreams, htresource.Upstream{
				Name:    fmt.Sprintf("worker-%05d", worker),
				Address: fmt.Sprintf("10.%d.%d.%d:8080", worker>>16, worker>>8&255, worker&255),
				Domain:  domainName((i + worker%domainsPerPool) % designDomains),
				Slots:   slotsPerWorker,
			})
			worker++
		}
		set.Pools = append(set.Pools, pool)
		set.Rules = append(set.Rules, htresource.Rule{
			Name: name + "-reads", Service: name, Methods: []string{"GET", "HEAD"}, PathPrefix: "/",
		})
		set.Services = append(set.Services, htresource.Service{
			Name: name, Hosts: []string{name + ".example.test"}, Pool: name, TimeoutMS: 2000, MaxTimeoutMS: 10000,
		})
	}
	return set
}

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

// shardsOf returns the pool shards of a set and all key partitions.
func shardsOf(set *htresource.Set) []htview.Shard {
	var all []htview.Shard
	for _, p := range set.Pools {
		for _, d := range p.Domains() {
			all = append(all, htview.PoolShard(p.Name, d))
		}
	}
	for n := range htview.KeyPartitions {
		all = append(all, htview.Shard{Partition: n})
	}
	return all
}

// makeView returns a view whose members are spread evenly over the failure domains.
func makeView(members int) htview.View {
	v := htview.View{Number: 1}
	for i := range members {
		v.Members = append(v.Members, makeMember(i))
	}
	return v
}

func makeMember(i int) htview.Member {
	return htview.Member{
		Host:        fmt.Sprintf("entry-%04d", i),
		Incarnation: fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", i),
		Address:     fmt.Sprintf("10.200.%d.%d:7443", i>>8, i&255),
		Domain:      domainName(i % designDomains),
	}
}
