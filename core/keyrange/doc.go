// Package keyrange decides which agent is home of each range of idempotency
// keys: the versioned map in the table, the lease of a home, takeover of a
// lost home and planned moves.
//
// Two agents never both admit fresh keys of a range:
//   - A home admits fresh keys only while its lease is valid. The lease counts
//     on the home's monotonic clock from before its renewal was sent.
//   - Without proof that the home's process has ended, a takeover commits only
//     if the table's own clock shows that the lease row was not written for
//     the lease plus Guard. The same transaction writes the row, so that a
//     renewal under way fails.
//   - T of the new home is the table's commit time. The old home admitted only
//     timestamps up to AheadLimit after its own clock, so every key that it
//     may have admitted is older than T plus Margin, and the new home never
//     runs such a key. This also holds if the old home was paused between
//     reading its clock and recording the key.
//   - At a planned move the old home stops admitting before it exports its
//     records, and resumes only when the table proves that the move failed.
package keyrange
