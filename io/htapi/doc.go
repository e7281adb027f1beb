// Package htapi implements the operators' HTTP API and its client. Bodies are JSON
// or CBOR. The ETag of a resource is its version: the revision of its last change.
package htapi
