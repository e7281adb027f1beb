// Package htlab provides the experiments of cmd/htlab and an in-process cluster for
// tests. Its load generator checks every response and compares the outcomes reported
// to callers with the requests that the upstreams recorded.
package htlab
