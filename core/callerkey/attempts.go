package callerkey

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// Attempts holds the attempts of one entry in the order in which they were added.
type Attempts struct {
	byRequest map[oleandervalve.RequestID]*Attempt
	order     []*Attempt
}

// AttemptActions are the actions of one attempt.
type AttemptActions struct {
	Request oleandervalve.RequestID
	Actions []Action
}

// NewAttempts returns an entry's empty set of attempts.
func NewAttempts() *Attempts {
	return &Attempts{byRequest: map[oleandervalve.RequestID]*Attempt{}}
}

// Add starts an attempt; its request id must be new.
func (s *Attempts) Add(now time.Time, a *Attempt, r Route) []Action {
	s.byRequest[a.begin.Request] = a
	s.order = append(s.order, a)
	return a.Tick(now, r)
}

// Handle passes an owner's reply to its attempt. It ignores replies to attempts that
// were removed, because the entry no longer knows whether their requests ran.
func (s *Attempts) Handle(now time.Time, reply Reply) []Action {
	if a := s.byRequest[reply.Request]; a != nil {
		return a.Handle(now, reply)
	}
	return nil
}

// Executed passes the outcome of an execution to its attempt.
func (s *Attempts) Executed(now time.Time, id oleandervalve.RequestID, e Execution) []Action {
	if a := s.byRequest[id]; a != nil {
		return a.Executed(now, e)
	}
	return nil
}

// Withdraw ends the attempt of a caller that has disconnected.
func (s *Attempts) Withdraw(now time.Time, id oleandervalve.RequestID) {
	if a := s.byRequest[id]; a != nil {
		a.Withdraw(now)
	}
}

// Tick returns the actions to carry out now and removes closed attempts after their
// deadline. Call it at NextWakeup, and when the map or a connection to an owner
// changes.
func (s *Attempts) Tick(now time.Time, route func(keyrange.ID) Route) []AttemptActions {
	var out []AttemptActions
	keep := s.order[:0]
	for _, a := range s.order {
		if a.Closed() && !now.Before(a.deadline) {
			delete(s.byRequest, a.begin.Request)
			continue
		}
		keep = append(keep, a)
		if actions := a.Tick(now, route(a.Range())); len(actions) > 0 {
			out = append(out, AttemptActions{a.begin.Request, actions})
		}
	}
	clear(s.order[len(keep):])
	s.order = keep
	return out
}

// NextWakeup returns when to call Tick next; false if there are no attempts.
func (s *Attempts) NextWakeup() (time.Time, bool) {
	var first time.Time
	for _, a := range s.order {
		d := a.deadline
		if !a.Closed() && a.phase != phaseExecuting {
			d = a.NextWakeup()
		}
		if first.IsZero() || d.Before(first) {
			first = d
		}
	}
	return first, len(s.order) > 0
}

// Len returns the number of attempts, including closed ones before their deadline.
func (s *Attempts) Len() int { return len(s.order) }
