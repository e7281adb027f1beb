// Package htpipeline looks at the requests that callers send ahead on the connections of a
// net/http server, and lets some of them start before their turn. The server reads the same
// bytes in the same order as without it.
package htpipeline
