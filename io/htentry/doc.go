// Package htentry runs an entry host that makes its routing decisions locally: it
// replicates the declarations together with the other hosts, monitors upstreams, serves
// callers and performs planned stops. The environment is passed in as Dependencies.
package htentry
