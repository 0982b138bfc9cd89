package table

import (
	"time"

	"oleandervalve"
)

// Queue holds transactions until the budget permits them. It sends them by
// priority and in order of arrival within a priority. A transaction that must
// wait delays only its own and lower priorities.
type Queue struct {
	limiter          *Limiter
	waiting          [priorityCount][]oleandervalve.Transaction
	limitPerPriority int
	refused          [priorityCount]int
}

// NewQueue returns an empty queue that holds at most limit transactions of each
// priority, except for Finishing.
func NewQueue(l *Limiter, limit int) *Queue { return &Queue{limiter: l, limitPerPriority: limit} }

// Add puts a transaction into the queue. If the queue of its priority is full,
// it returns an error, and the transaction counts as not applied. Transactions
// of priority Finishing are never refused.
func (q *Queue) Add(t oleandervalve.Transaction, p Priority) error {
	if p != Finishing && len(q.waiting[p]) >= q.limitPerPriority {
		q.refused[p]++
		return &oleandervalve.UnavailableError{
			Service: "table budget", Remedy: "repeat the change later, or raise the budget of the table",
			RetryAfter: time.Second,
		}
	}
	q.waiting[p] = append(q.waiting[p], t)
	return nil
}

// Next removes and returns the transaction to send now. If there is none, it
// returns how long to wait before the next call, or zero if the queue is empty.
func (q *Queue) Next(now time.Time) (t oleandervalve.Transaction, wait time.Duration, ok bool) {
	for p := range q.waiting {
		if len(q.waiting[p]) == 0 {
			continue
		}
		first := q.waiting[p][0]
		d := q.limiter.TakeWrites(now, Priority(p), max(1, len(first.Puts)+len(first.Deletes)))
		if d == 0 {
			q.waiting[p][0] = oleandervalve.Transaction{}
			q.waiting[p] = q.waiting[p][1:]
			return first, 0, true
		}
		// A lower priority must not take the budget that this one waits for.
		return oleandervalve.Transaction{}, d, false
	}
	return oleandervalve.Transaction{}, 0, false
}

// Waiting returns how many transactions of a priority are queued.
func (q *Queue) Waiting(p Priority) int { return len(q.waiting[p]) }

// Refused returns how many transactions of a priority were refused because the
// queue was full.
func (q *Queue) Refused(p Priority) int { return q.refused[p] }
