// Package lease implements the leases of workers and entries. A worker's lease
// permits its agent to run tasks; an entry's session permits it to own shards
// of work. Each holder measures its deadline on its own oleandervalve.LeaseClock,
// which counts suspensions of the instance, starting before it sends the renewal
// request. Every other process relies on
// the table's clock: the transaction that takes over checks that the lease has
// expired. Clocks of two machines are therefore never compared.
//
// Expiry by the store's clock, a compare-and-set at each renewal and a fencing
// token at each acquisition follow spindle, a distributed locking library built
// on Cloud Spanner. Here, all shard leases of an entry depend on one row that
// the entry renews, so the cost in writes does not grow with the number of
// shards.
package lease
