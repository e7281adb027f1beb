// Package htclient bounds the connections of a host's listeners: what their clients may make the
// host hold, and which of them are closed when descriptors or memory are short.
package htclient
