// Package work defines the data model of submitted jobs: queues, jobs, steps and tasks,
// and the records of them that are stored in the table.
package work
