package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// beginRetryInterval is how long an entry waits for a reply before it sends Begin again.
	beginRetryInterval = 200 * time.Millisecond
	// finishRetryInterval is how long an entry waits for a reply before it sends
	// Finish again.
	finishRetryInterval = time.Second
	// finishTimeout is how long an entry repeats a Finish without acknowledgement; an
	// owner that receives none marks the key as indeterminate.
	finishTimeout = 5 * time.Minute
	// routeTimeout is how long an attempt waits for a connection to the owner. It
	// covers a planned transfer, because an entry reads the map every second.
	routeTimeout = 2 * time.Second
)

// Route is an entry's route to the owner of a key's range.
type Route struct {
	Owner      keyrange.Owner
	Connected  bool
	MapVersion oleandervalve.Version
}

// Execution is the outcome of the single execution that an attempt was permitted.
type Execution struct {
	Outcome    oleandervalve.Outcome
	Reason     oleandervalve.Reason
	Remedy     string
	RetryAfter time.Duration
	HTTPStatus int
	Header     http.Header
	Body       []byte
	// Kept is false if Header and Body are incomplete because of the size of the answer.
	Kept bool
}

// Result is what the entry reports to the caller.
type Result struct {
	Execution
	// Replayed means that the result is the stored one of an earlier attempt.
	Replayed bool
}

// Action is an action for the entry to carry out; exactly one of Begin, Finish,
// Execute and Result is set.
type Action struct {
	To     keyrange.Owner
	Begin  *Begin
	Finish *Finish
	// Execute permits the entry to send the request to an endpoint, once.
	Execute bool
	Result  *Result
}

// phase is the state of an attempt: it requests permission, executes the request,
// reports the outcome to the owner, or has nothing left to do.
type phase int

const (
	phaseRequesting phase = iota
	phaseExecuting
	phaseFinishing
	phaseClosed
)

// Attempt is the state machine of one keyed request at an entry, from the request
// for permission to the reported outcome.
type Attempt struct {
	begin     Begin
	deadline  time.Time
	maxAnswer oleandervalve.Bytes
	phase     phase
	beginSent bool
	executed  bool
	// unreachableSince is when the owner became unreachable; zero while it is reachable.
	unreachableSince time.Time
	nextSendAt       time.Time
	finish           Finish
	finishDeadline   time.Time
}

// NewAttempt returns an attempt that has not sent any message. The Begin contains the
// entry, the request, the key with its scope and the request digest; maxAnswer limits
// the size of the stored answer. NewAttempt returns a *oleandervalve.InvalidError or
// a *oleandervalve.NotRunError if the key is refused.
func NewAttempt(now, deadline time.Time, b Begin, maxAnswer oleandervalve.Bytes) (*Attempt, error) {
	k, err := ParseKey(b.Key)
	if err != nil {
		return nil, err
	}
	if err := k.CheckTimestamp(now); err != nil {
		return nil, err
	}
	return &Attempt{begin: b, deadline: deadline, maxAnswer: min(maxAnswer, MaxKeptAnswer), nextSendAt: now}, nil
}

// Range returns the range of the attempt's key.
func (a *Attempt) Range() keyrange.ID {
	return keyrange.Of(a.begin.Caller, a.begin.Service, a.begin.Key)
}

// Closed reports whether the attempt has no pending work. The entry keeps a closed
// attempt until its deadline, to handle copies of messages that arrive late.
func (a *Attempt) Closed() bool { return a.phase == phaseClosed }

// Tick returns the messages to send now, or ends the attempt when its time limit has
// passed. Call it at the start, when the route changes and at NextWakeup.
func (a *Attempt) Tick(now time.Time, r Route) []Action {
	switch a.phase {
	case phaseRequesting:
		return a.requestPermission(now, r)
	case phaseFinishing:
		if !now.Before(a.finishDeadline) {
			a.phase = phaseClosed
		} else if r.Connected && !now.Before(a.nextSendAt) {
			a.nextSendAt = now.Add(finishRetryInterval)
			f := a.finish
			return []Action{{To: r.Owner, Finish: &f}}
		}
	}
	return nil
}

// NextWakeup returns when to call Tick next.
func (a *Attempt) NextWakeup() time.Time {
	switch {
	case a.phase == phaseRequesting && a.deadline.Before(a.nextSendAt):
		return a.deadline
	case a.phase == phaseFinishing && a.finishDeadline.Before(a.nextSendAt):
		return a.finishDeadline
	}
	return a.nextSendAt
}

// requestPermission sends Begin if it is time to, and gives up after the deadline or
// if the owner stays unreachable.
func (a *Attempt) requestPermission(now time.Time, r Route) []Action {
	if !now.Before(a.deadline) {
		return a.giveUp(now)
	}
	if !r.Connected {
		if a.unreachableSince.IsZero() {
			a.unreachableSince = now
		}
		a.nextSendAt = a.unreachableSince.Add(routeTimeout)
		if !now.Before(a.nextSendAt) {
			return a.giveUp(now)
		}
		return nil
	}
	if !a.unreachableSince.IsZero() {
		a.unreachableSince, a.nextSendAt = time.Time{}, now
	}
	if now.Before(a.nextSendAt) {
		return nil
	}
	a.nextSendAt, a.beginSent = now.Add(beginRetryInterval), true
	b := a.begin
	b.Remaining, b.MapVersion = a.deadline.Sub(now), r.MapVersion
	return []Action{{To: r.Owner, Begin: &b}}
}

// giveUp ends an attempt that was never permitted to execute. An earlier attempt
// with the key may have run through another entry, so the caller gets "unknown"
// even if this entry has sent no message.
func (a *Attempt) giveUp(now time.Time) []Action {
	reason := ReasonOwnerUnreachable
	if a.beginSent {
		reason = ReasonOwnerNoReply
	}
	out := resultActions(Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: reason, RetryAfter: time.Second})
	a.withdraw(now)
	return out
}

// withdraw closes the attempt and releases the key at the owner, which may have
// admitted the attempt.
func (a *Attempt) withdraw(now time.Time) {
	a.phase = phaseClosed
	if a.beginSent {
		a.startFinish(now, Execution{Outcome: oleandervalve.OutcomeNotRun})
	}
}

// startFinish starts to report the outcome of the attempt to the owner.
func (a *Attempt) startFinish(now time.Time, e Execution) {
	f := Finish{
		Entry: a.begin.Entry, Request: a.begin.Request, Caller: a.begin.Caller, Service: a.begin.Service,
		Key: a.begin.Key, Digest: a.begin.Digest, Outcome: e.Outcome,
	}
	if e.Outcome == oleandervalve.OutcomeAnswered {
		f.HTTPStatus = e.HTTPStatus
		if e.Kept && answerSize(e.Header, e.Body) <= int64(a.maxAnswer) {
			f.Header, f.Body, f.Kept = e.Header, e.Body, true
		}
	}
	a.finish, a.phase, a.nextSendAt, a.finishDeadline = f, phaseFinishing, now, now.Add(finishTimeout)
}

// resultActions returns the action that reports a result to the caller, with the
// remedy of its reason unless the execution has one.
func resultActions(e Execution) []Action {
	if e.Remedy == "" {
		e.Remedy = remedies[e.Reason]
	}
	return []Action{{Result: &Result{Execution: e}}}
}

// Handle handles a reply of the owner.
func (a *Attempt) Handle(now time.Time, reply Reply) []Action {
	switch {
	case a.phase == phaseRequesting:
		return a.handleReply(now, reply)
	case a.phase == phaseFinishing && reply.Status == StatusRecorded && reply.Outcome == a.finish.Outcome:
		a.phase = phaseClosed
	case a.phase == phaseFinishing && (reply.Status == StatusTransferring || reply.Status == StatusNotOwner):
		a.nextSendAt = now.Add(reply.RetryAfter)
	case a.phase == phaseClosed && reply.Status == StatusPermitted && !a.executed:
		// A late copy of Begin made the key pending for this attempt.
		a.withdraw(now)
	}
	return nil
}

// handleReply handles a reply to Begin.
func (a *Attempt) handleReply(now time.Time, reply Reply) []Action {
	e := Execution{Outcome: oleandervalve.OutcomeUnknown, Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	switch reply.Status {
	case StatusPermitted:
		if !now.Before(a.deadline) {
			return a.giveUp(now)
		}
		a.phase, a.executed = phaseExecuting, true
		return []Action{{Execute: true}}
	case StatusTransferring, StatusNotOwner:
		a.nextSendAt = now.Add(reply.RetryAfter)
		return nil
	case StatusDone:
		e.HTTPStatus, e.Reason = reply.HTTPStatus, ReasonAnswerTooLarge
		if reply.Kept {
			e = Execution{Outcome: oleandervalve.OutcomeAnswered, HTTPStatus: reply.HTTPStatus, Header: reply.Header, Body: reply.Body, Kept: true}
		}
	case StatusMismatch, StatusRefused:
		e.Outcome = oleandervalve.OutcomeNotRun
	case StatusPending, StatusIndeterminate:
	default:
		return nil
	}
	a.phase = phaseClosed
	out := resultActions(e)
	out[0].Result.Replayed = reply.Status == StatusDone
	return out
}

// Executed records the outcome of the execution. A later, certain outcome replaces
// OutcomeUnknown in the owner's record, but the caller gets only the first.
func (a *Attempt) Executed(now time.Time, e Execution) []Action {
	switch {
	case a.phase == phaseExecuting:
		a.startFinish(now, e)
		return resultActions(e)
	case a.executed && a.finish.Outcome == oleandervalve.OutcomeUnknown && e.Outcome != oleandervalve.OutcomeUnknown:
		a.startFinish(now, e)
	}
	return nil
}

// Withdraw ends an attempt whose caller has disconnected, unless its execution was
// already permitted; that execution continues.
func (a *Attempt) Withdraw(now time.Time) {
	if a.phase == phaseRequesting {
		a.withdraw(now)
	}
}
