// Package hthost assembles the components of an entry host of the command hawthornturn
// serve, runs them under supervision, and performs a planned stop. Each partition of
// idempotency keys and each pool shard has one owner among these hosts (package htview), to
// which the others forward calls. In contrast, a host of package htentry, which the command
// hawthornturn-entry uses, sends each call to an upstream by itself.
package hthost
