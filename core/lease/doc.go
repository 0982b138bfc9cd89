// Package lease holds the leases of workers and entries. A worker's lease lets
// its agent run tasks; an entry's session lets it own shards of work. Each
// holder counts its deadline on its own monotonic clock from before it asked
// for the renewal. Everyone else judges expiry by the table's clock, inside the
// transaction that takes over, so no two clocks are ever compared.
//
// Expiry by the store's clock, a compare-and-set at each renewal and a fencing
// token at each acquisition follow spindle: a distributed locking library built
// on Cloud Spanner. Leases of shards are bound to one renewed row per entry
// here, so that their cost in writes does not grow with the number of shards.
package lease
