// Package htresource defines the resources of the declared state: services, pools of
// upstreams, failure domains and the rules that declare requests as idempotent. A Set
// is a consistent copy of all resources at one revision.
package htresource
