// Package htfront implements the HTTP server for callers. It converts requests to calls
// and answers to responses.
package htfront
