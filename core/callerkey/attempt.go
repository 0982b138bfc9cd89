package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// beginRepeat is how long an entry waits for a reply before it repeats Begin.
	beginRepeat = 200 * time.Millisecond
	// finishRepeat is the same for Finish.
	finishRepeat = time.Second
	// finishFor is how long Finish is repeated; then the home counts the attempt as lost.
	finishFor = 5 * time.Minute
	// routeWait covers a planned move of the home: an entry reads the map every second.
	routeWait = 2 * time.Second
)

// Route is an entry's view of the way to the home of a key's range.
type Route struct {
	Home       keyrange.Owner
	Connected  bool
	MapVersion oleandervalve.Version
}

// Execution is what became of the one execution that an attempt was permitted.
type Execution struct {
	Outcome    oleandervalve.Outcome
	Reason     oleandervalve.Reason
	Remedy     string
	RetryAfter time.Duration
	HTTPStatus int
	Header     http.Header
	Body       []byte
	// Kept is false if Header and Body are not the whole answer, because it was too large.
	Kept bool
}

// Result is what the caller hears.
type Result struct {
	Execution
	// Replayed means that the answer is the kept answer of an earlier attempt.
	Replayed bool
}

// Action is one thing for the entry to do; exactly one of Begin, Finish, Execute and Result is set.
type Action struct {
	To     keyrange.Owner
	Begin  *Begin
	Finish *Finish
	// Execute permits the entry to send the request to an endpoint, once.
	Execute bool
	Result  *Result
}

type phase int

const (
	phaseAsking phase = iota
	phaseExecuting
	phaseFinishing
	phaseClosed
)

// Attempt follows one keyed request at an entry from the key check to its outcome.
type Attempt struct {
	begin    Begin
	deadline time.Time
	max      oleandervalve.Bytes
	phase    phase
	sent     bool
	executed bool
	// lost is when the home became unreachable; zero while it is reachable.
	lost        time.Time
	due         time.Time
	finish      Finish
	finishUntil time.Time
}

// NewAttempt returns an attempt that has sent nothing. The Begin names the entry,
// the request, the key in its scope and the body digest; maxAnswer bounds the
// answer that is kept. It returns a *oleandervalve.InvalidError or a
// *oleandervalve.NotRunError if the key is refused.
func NewAttempt(now, deadline time.Time, b Begin, maxAnswer oleandervalve.Bytes) (*Attempt, error) {
	k, err := ParseKey(b.Key)
	if err != nil {
		return nil, err
	}
	if err := k.CheckAhead(now); err != nil {
		return nil, err
	}
	return &Attempt{begin: b, deadline: deadline, max: min(maxAnswer, MaxKeptAnswer), due: now}, nil
}

// Range returns the range of the attempt's key.
func (a *Attempt) Range() keyrange.ID {
	return keyrange.Of(a.begin.Caller, a.begin.Service, a.begin.Key)
}

// Closed reports whether nothing is left to do; the entry keeps the attempt
// until its deadline all the same, for copies of messages that arrive late.
func (a *Attempt) Closed() bool { return a.phase == phaseClosed }

// Tick sends what is due; call it at the start, when the route changes and at Due.
func (a *Attempt) Tick(now time.Time, r Route) []Action {
	switch a.phase {
	case phaseAsking:
		return a.ask(now, r)
	case phaseFinishing:
		if !now.Before(a.finishUntil) {
			a.phase = phaseClosed
		} else if r.Connected && !now.Before(a.due) {
			a.due = now.Add(finishRepeat)
			f := a.finish
			return []Action{{To: r.Home, Finish: &f}}
		}
	}
	return nil
}

// Due returns when to call Tick next.
func (a *Attempt) Due() time.Time {
	switch {
	case a.phase == phaseAsking && a.deadline.Before(a.due):
		return a.deadline
	case a.phase == phaseFinishing && a.finishUntil.Before(a.due):
		return a.finishUntil
	}
	return a.due
}

func (a *Attempt) ask(now time.Time, r Route) []Action {
	if !now.Before(a.deadline) {
		return a.giveUp(now)
	}
	if !r.Connected {
		if a.lost.IsZero() {
			a.lost = now
		}
		a.due = a.lost.Add(routeWait)
		if !now.Before(a.due) {
			return a.giveUp(now)
		}
		return nil
	}
	if !a.lost.IsZero() {
		a.lost, a.due = time.Time{}, now
	}
	if now.Before(a.due) {
		return nil
	}
	a.due, a.sent = now.Add(beginRepeat), true
	b := a.begin
	b.Remaining, b.MapVersion = a.deadline.Sub(now), r.MapVersion
	return []Action{{To: r.Home, Begin: &b}}
}

// giveUp ends an attempt that was never permitted to execute. An earlier
// attempt with the key may have run through another entry, so the caller hears
// "unknown" even if this entry has sent nothing.
func (a *Attempt) giveUp(now time.Time) []Action {
	reason := ReasonKeyHome
	if a.sent {
		reason = ReasonKeyNoReply
	}
	out := result(Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: reason, RetryAfter: time.Second})
	a.withdraw(now)
	return out
}

// withdraw frees the key at the home, which may have admitted this attempt.
func (a *Attempt) withdraw(now time.Time) {
	a.phase = phaseClosed
	if a.sent {
		a.end(now, Execution{Outcome: oleandervalve.OutcomeNotRun})
	}
}

// end starts to report the attempt's end to the home.
func (a *Attempt) end(now time.Time, e Execution) {
	f := Finish{
		Entry: a.begin.Entry, Request: a.begin.Request, Caller: a.begin.Caller, Service: a.begin.Service,
		Key: a.begin.Key, Digest: a.begin.Digest, Outcome: e.Outcome,
	}
	if e.Outcome == oleandervalve.OutcomeAnswered {
		f.HTTPStatus = e.HTTPStatus
		if e.Kept && answerSize(e.Header, e.Body) <= int64(a.max) {
			f.Header, f.Body, f.Kept = e.Header, e.Body, true
		}
	}
	a.finish, a.phase, a.due, a.finishUntil = f, phaseFinishing, now, now.Add(finishFor)
}

func result(e Execution) []Action {
	if e.Remedy == "" {
		e.Remedy = remedies[e.Reason]
	}
	return []Action{{Result: &Result{Execution: e}}}
}

// Handle takes the home's reply.
func (a *Attempt) Handle(now time.Time, s State) []Action {
	switch {
	case a.phase == phaseAsking:
		return a.decide(now, s)
	case a.phase == phaseFinishing && s.Status == StatusRecorded && s.Outcome == a.finish.Outcome:
		a.phase = phaseClosed
	case a.phase == phaseFinishing && (s.Status == StatusMoving || s.Status == StatusNotHome):
		a.due = now.Add(s.RetryAfter)
	case a.phase == phaseClosed && s.Status == StatusFresh && !a.executed:
		// A copy of Begin arrived late and made the key pending for this attempt.
		a.withdraw(now)
	}
	return nil
}

func (a *Attempt) decide(now time.Time, s State) []Action {
	e := Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: s.Reason, RetryAfter: s.RetryAfter}
	switch s.Status {
	case StatusFresh:
		if !now.Before(a.deadline) {
			return a.giveUp(now)
		}
		a.phase, a.executed = phaseExecuting, true
		return []Action{{Execute: true}}
	case StatusMoving, StatusNotHome:
		a.due = now.Add(s.RetryAfter)
		return nil
	case StatusDone:
		e.HTTPStatus, e.Reason = s.HTTPStatus, ReasonAnswerSize
		if s.Kept {
			e = Execution{Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: s.HTTPStatus, Header: s.Header, Body: s.Body, Kept: true}
		}
	case StatusMismatch, StatusRefused:
		e.Outcome = oleandervalve.OutcomeNotRun
	case StatusPending, StatusLost:
	default:
		return nil
	}
	a.phase = phaseClosed
	out := result(e)
	out[0].Result.Replayed = s.Status == StatusDone
	return out
}

// Executed takes the outcome of the execution; a later one that is certain
// replaces OutcomeUnknown in the record, but the caller hears only the first.
func (a *Attempt) Executed(now time.Time, e Execution) []Action {
	switch {
	case a.phase == phaseExecuting:
		a.end(now, e)
		return result(e)
	case a.executed && a.finish.Outcome == oleandervalve.OutcomeUnknown && e.Outcome != oleandervalve.OutcomeUnknown:
		a.end(now, e)
	}
	return nil
}

// Withdraw ends an attempt whose caller has gone; a permitted execution goes on.
func (a *Attempt) Withdraw(now time.Time) {
	if a.phase == phaseAsking {
		a.withdraw(now)
	}
}
