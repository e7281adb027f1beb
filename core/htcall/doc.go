// Package htcall holds the common types of a call: its metadata, the three outcomes
// reported to callers, the reasons, and the names of the header fields that carry them.
package htcall
