// Package job implements the lifecycle of jobs and tasks: the record of a task in
// the table and its transitions, Shard, which manages the tasks of one shard at
// the entry that owns it, and Runner, which manages the tasks of one worker at
// its agent.
//
// Three rules keep a task from running in two places:
//
//   - Every transition is one transaction that is conditional on the version of
//     the task's row.
//   - The record of a task is detached from its worker only once that worker can
//     no longer run the epoch: the agent or the platform has confirmed the stop,
//     or the worker's lease has expired by the table's clock.
//   - An agent starts an epoch only under the reservation that was committed with
//     it. The agent discards its reservations when it restarts or its lease
//     expires.
package job
