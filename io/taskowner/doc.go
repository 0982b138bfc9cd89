// Package taskowner runs an entry's part in tasks: it owns shards of tasks and
// of worker leases while its session lasts, places their tasks and talks about
// them to the agents of the workers.
package taskowner
