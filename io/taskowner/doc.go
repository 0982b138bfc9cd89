// Package taskowner runs the tasks of an entry. While the session of the entry
// lasts, an Owner owns shards of tasks and of worker leases, places the tasks of
// its shards and exchanges messages about them with the agents of the workers.
package taskowner
