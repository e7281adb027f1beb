// Package htfair decides whose calls get scarce room first: the more urgent class, within a class
// the account that has had the least of its usual load lately, and within an account the calls
// that can still be on time. It has no clock and no network.
package htfair
