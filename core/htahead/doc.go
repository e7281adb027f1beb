// Package htahead decides which requests that callers have sent ahead are started before the
// requests in front of them on their connection have been answered.
package htahead
