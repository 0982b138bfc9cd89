// Package agent runs the agent process beside an endpoint instance or a
// worker: it connects the ledger to entries, endpoints and the platform.
package agent
