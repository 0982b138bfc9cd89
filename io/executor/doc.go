// Package executor implements the agent that is co-located with an executor. The
// agent executes the leading entry's orders, extends the executor's lease and reports
// ended runs to the leader.
package executor
