package callerkey

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// Attempts holds the attempts of one entry, in the order in which they began.
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

// Handle passes a home's reply on; replies to forgotten attempts are dropped,
// because nothing is certain about them any more.
func (s *Attempts) Handle(now time.Time, x State) []Action {
	if a := s.byRequest[x.Request]; a != nil {
		return a.Handle(now, x)
	}
	return nil
}

// Executed passes the outcome of an execution on.
func (s *Attempts) Executed(now time.Time, id oleandervalve.RequestID, e Execution) []Action {
	if a := s.byRequest[id]; a != nil {
		return a.Executed(now, e)
	}
	return nil
}

// Withdraw ends the attempt of a caller that has gone.
func (s *Attempts) Withdraw(now time.Time, id oleandervalve.RequestID) {
	if a := s.byRequest[id]; a != nil {
		a.Withdraw(now)
	}
}

// Tick returns what is due and forgets closed attempts after their deadline;
// call it when Due has come, and when the map or a connection to a home changes.
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

// Due returns when to call Tick next; false if nothing is in progress.
func (s *Attempts) Due() (time.Time, bool) {
	var first time.Time
	for _, a := range s.order {
		d := a.deadline
		if !a.Closed() && a.phase != phaseExecuting {
			d = a.Due()
		}
		if first.IsZero() || d.Before(first) {
			first = d
		}
	}
	return first, len(s.order) > 0
}

// Len returns how many attempts are held.
func (s *Attempts) Len() int { return len(s.order) }
