// Package agent runs the agent process, which is co-located with the endpoints
// of an instance or with a worker. It connects the credit ledger to the entries,
// the endpoints and the platform.
package agent
