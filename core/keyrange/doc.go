// Package keyrange assigns each range of idempotency keys to the agent that
// owns it: the versioned map in the table, the leases of the owners, takeover
// from a failed owner and planned transfers.
//
// Two agents never both admit new keys of a range:
//   - An owner admits new keys only while its lease is valid. The lease duration
//     counts on the owner's monotonic clock, from before the renewal was sent.
//   - Unless the owner's process has provably terminated, a takeover commits
//     only if the lease row was not written for the lease duration plus Guard,
//     measured by the table's own clock. The same transaction writes the row, so
//     that a renewal in flight fails.
//   - The takeover time T of the new owner is the table's commit time. The old
//     owner admitted only timestamps up to MaxTimestampAhead after its own clock,
//     so every key that it may have admitted is older than T plus TakeoverMargin,
//     and the new owner never runs such a key. This also holds if the old owner
//     was paused between reading its clock and recording the key.
//   - In a planned transfer, the old owner stops admitting keys before it exports
//     its records, and resumes only when the table shows that the transfer failed.
package keyrange
