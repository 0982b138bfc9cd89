package caller

import (
	"time"

	"oleandervalve"
)

// Request is one waiting request.
type Request struct {
	ID       oleandervalve.RequestID
	Class    oleandervalve.ClassName
	Team     oleandervalve.TeamID
	Caller   oleandervalve.CallerID
	Arrived  time.Time
	Deadline time.Time
}

// ClassPolicy is the share and the bounds of one class.
type ClassPolicy struct {
	Class oleandervalve.ClassName `json:"class" yaml:"class"`
	// Weight is the class's share of capacity beyond the floors.
	Weight float64 `json:"weight" yaml:"weight"`
	// Floor is the guaranteed share of capacity, from 0 to 1.
	Floor float64 `json:"floor" yaml:"floor"`
	// MaxQueued bounds the waiting requests of the class.
	MaxQueued int `json:"maxQueued" yaml:"maxQueued"`
	// MaxQueuedPerTeam bounds the waiting requests of one team in the class.
	MaxQueuedPerTeam int `json:"maxQueuedPerTeam" yaml:"maxQueuedPerTeam"`
	// MaxQueuedPerCaller bounds the waiting requests of one caller in the class.
	MaxQueuedPerCaller int `json:"maxQueuedPerCaller" yaml:"maxQueuedPerCaller"`
}

// ClassWaiting counts the waiting requests of one class.
type ClassWaiting struct {
	Class   oleandervalve.ClassName
	Waiting int
}

const defaultMaxQueued = 10_000

// Queue holds the waiting requests of one service at one entry.
type Queue struct {
	waiting []Request
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// Configure replaces the class policies; waiting requests stay.
func (q *Queue) Configure(_ []ClassPolicy) {}

// SetCapacity tells the number of slots of the service's ready endpoints.
func (q *Queue) SetCapacity(_ int) {}

// Push adds a request, or refuses it with a *oleandervalve.NotRunError.
func (q *Queue) Push(now time.Time, r Request) error {
	if !r.Deadline.After(now) {
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	}
	if len(q.waiting) >= defaultMaxQueued {
		return &oleandervalve.NotRunError{Reason: "queueFull", Remedy: "retry after the given time", RetryAfter: time.Second}
	}
	q.waiting = append(q.waiting, r)
	return nil
}

// Pop removes the request to serve next; an empty class means any.
func (q *Queue) Pop(now time.Time, class oleandervalve.ClassName) (Request, bool) {
	for i, r := range q.waiting {
		if !r.Deadline.After(now) || (class != "" && r.Class != class) {
			continue
		}
		q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
		return r, true
	}
	return Request{}, false
}

// Remove withdraws a request and reports whether it was still waiting.
func (q *Queue) Remove(id oleandervalve.RequestID) bool {
	for i, r := range q.waiting {
		if r.ID == id {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Request {
	var out []Request
	keep := q.waiting[:0]
	for _, r := range q.waiting {
		if r.Deadline.After(now) {
			keep = append(keep, r)
		} else {
			out = append(out, r)
		}
	}
	q.waiting = keep
	return out
}

// Finished records how long a request of a class held its slot.
func (q *Queue) Finished(_ time.Time, _ oleandervalve.ClassName, _ time.Duration) {}

// Waiting counts the waiting requests by class, in the order of their names.
func (q *Queue) Waiting() []ClassWaiting {
	var out []ClassWaiting
	for _, r := range q.waiting {
		found := false
		for i := range out {
			if out[i].Class == r.Class {
				out[i].Waiting++
				found = true
			}
		}
		if !found {
			out = append(out, ClassWaiting{Class: r.Class, Waiting: 1})
		}
	}
	return out
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }
