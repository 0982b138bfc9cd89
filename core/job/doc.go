// Package job holds the life of jobs and tasks: the record of a task in the
// table and its transitions, the entry's owner of a shard of tasks (Shard) and
// the agent's owner of the tasks on a worker (Runner).
//
// Three rules keep a task from running in two places. Every transition is one
// transaction conditional on the version of the task's row. A task leaves a
// worker in the table only once the worker can no longer run that epoch: the
// agent or the platform has confirmed the stop, or the worker's lease has
// expired by the table's clock. And an agent starts an epoch only under the
// reservation that was committed with it, which the agent forgets when it
// restarts or its lease lapses.
package job
