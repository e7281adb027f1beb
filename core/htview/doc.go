// Package htview decides which entry host owns which shard. The members are listed
// in one row of the table service, the view. Each host shows that it is alive by
// renewing one lease row. The owner of a shard is computed from the view by
// rendezvous hashing.
//
// A host that cannot reach the table service gives holds in its heartbeat replies.
// A hold is a promise to remove no member for a fixed time. A host extends its lease
// without the table service while every other member gives it a hold or has ended.
package htview
