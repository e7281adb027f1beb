// Package htcatalog holds what an entry host believes is declared: the routes and
// services of the configuration, the upstreams that announce themselves, and the
// failure domains that operators have taken out.
package htcatalog
