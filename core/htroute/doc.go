// Package htroute chooses the pool shard for a call, keeps the budget for retries and
// hedges, and counts the upstream crashes that requests cause.
package htroute
