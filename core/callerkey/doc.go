// Package callerkey executes a caller's retries with one idempotency key at
// most once: the key's format, the record at the key's home agent, and the
// attempt at an entry.
//
// "Not run" means that this attempt does not run, and that no other attempt
// with the key ran or was about to run when the home answered. Where that is
// not proven, the caller hears "unknown" and may send the same key again.
package callerkey
