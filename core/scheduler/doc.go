// Package scheduler decides where and when tasks start, and which tasks are
// throttled, evicted or migrated. It combines the queue, the quotas, the state of
// the workers, and the learned sizes and interference. Events and times are
// passed in; decisions are returned.
package scheduler
