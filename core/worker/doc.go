// Package worker maintains an entry's view of the workers and selects a worker
// for each task.
package worker
