// Package executor is the agent process co-located with an executor: it carries
// out the leading entry's orders, extends the executor's lease and reports the runs
// that have ended.
package executor
