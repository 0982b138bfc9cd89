// Package worker holds an entry's view of the workers and chooses the worker
// on which a task runs.
package worker
