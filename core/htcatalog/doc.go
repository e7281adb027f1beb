// Package htcatalog holds the declarations as known to an entry host: the routes and
// services of the configuration, the upstreams that announce themselves, and the failure
// domains that operators have taken out of service.
package htcatalog
