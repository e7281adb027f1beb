// Package htstand holds test servers for the systems around hawthornturn: the
// platform (table service, object store and host list) and upstreams. They serve
// HTTP on loopback, inject the faults listed in section 1.5 of docs/design.md, and
// record the requests received so that tests can check them.
package htstand
