// Package htplatform implements the HTTP clients for the platform's table service and host
// list.
package htplatform
