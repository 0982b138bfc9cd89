// Package callerkey executes all retries of a request that carry the same
// idempotency key at most once. It contains the key format, the record store of
// the agent that owns a key's range, and the attempt at an entry.
//
// "Not run" means that this attempt does not run, and that no other attempt
// with the key ran or was about to run when the owner replied. Where the owner
// can't prove that, the caller gets "unknown" and may send the same key again.
package callerkey
