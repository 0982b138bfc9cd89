// Package scheduler decides which task starts where and when, and which tasks
// are throttled, evicted or moved. It combines the queue, the quotas, the view
// of the workers and what was learned of them; it acts on events and times
// passed in and returns decisions.
package scheduler
