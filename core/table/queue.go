package table

import (
	"time"

	"oleandervalve"
)

// Queue holds transactions until the budget permits them: by priority, and in
// their order of arrival within one. Whatever has to wait holds up only the
// priorities after it.
type Queue struct {
	limiter *Limiter
	waiting [priorities][]oleandervalve.Transaction
	limit   int
	refused [priorities]int
}

// NewQueue returns an empty queue that holds at most limit transactions of each priority.
func NewQueue(l *Limiter, limit int) *Queue { return &Queue{limiter: l, limit: limit} }

// Add puts a transaction into the queue; a full queue refuses it, which the
// caller treats as a transaction that was not applied. Finishing is never refused.
func (q *Queue) Add(t oleandervalve.Transaction, p Priority) error {
	if p != Finishing && len(q.waiting[p]) >= q.limit {
		q.refused[p]++
		return &oleandervalve.UnavailableError{
			Service: "table budget", Remedy: "repeat the change later, or raise the budget of the table",
			RetryAfter: time.Second,
		}
	}
	q.waiting[p] = append(q.waiting[p], t)
	return nil
}

// Next returns the transaction to send now. If there is none, it returns how
// long to wait before asking again, or zero if the queue is empty.
func (q *Queue) Next(now time.Time) (t oleandervalve.Transaction, wait time.Duration, ok bool) {
	for p := range q.waiting {
		if len(q.waiting[p]) == 0 {
			continue
		}
		first := q.waiting[p][0]
		d := q.limiter.Write(now, Priority(p), max(1, len(first.Puts)+len(first.Deletes)))
		if d == 0 {
			q.waiting[p][0] = oleandervalve.Transaction{}
			q.waiting[p] = q.waiting[p][1:]
			return first, 0, true
		}
		// A lower priority may not take what this one waits for.
		return oleandervalve.Transaction{}, d, false
	}
	return oleandervalve.Transaction{}, 0, false
}

// Waiting returns how many transactions of a priority wait.
func (q *Queue) Waiting(p Priority) int { return len(q.waiting[p]) }

// Refused returns how many transactions of a priority a full queue has refused.
func (q *Queue) Refused(p Priority) int { return q.refused[p] }
