// Package htdispatch schedules requests on the upstreams of one pool in one failure
// domain. Pool is a deterministic state machine: its methods take the current time and
// return the actions that the caller must perform.
package htdispatch
