package instance

import (
	"time"

	"oleandervalve"
)

const (
	// completedRetention is how long a completed request is recorded, so that a
	// duplicate of its frame isn't admitted again. Connections deliver frames
	// in order, so this only has to cover duplicates that an intermediary
	// sends.
	completedRetention = 10 * time.Second
	// maxRetained limits the records of completed requests to about 10 MB of
	// memory.
	maxRetained = 1 << 16
)

// Admission describes a request that needs a slot.
type Admission struct {
	ID       oleandervalve.RequestID
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Class    oleandervalve.ClassName
	Deadline time.Time
}

// DropError reports a request frame that must be dropped without an answer,
// because it duplicates a request or comes from an older connection. A refusal
// would state that the request did not run, which the ledger can't know.
type DropError struct {
	ID     oleandervalve.RequestID
	Reason oleandervalve.Reason
}

func (e *DropError) Error() string {
	return "request " + string(e.ID) + " was dropped without an answer (" + string(e.Reason) +
		"): entries must use a new id for each attempt, and their current connection"
}

type requestKey struct {
	entry oleandervalve.EntryID
	epoch oleandervalve.ConnectionEpoch
	id    oleandervalve.RequestID
}

type admittedRequest struct {
	endpoint   *endpointState
	class      oleandervalve.ClassName
	deadline   time.Time
	admittedAt time.Time
	begun      bool
}

type completedRequest struct {
	key requestKey
	at  time.Time
}

// requestLog records the admitted requests and, for a limited time, the
// completed ones.
type requestLog struct {
	running map[requestKey]*admittedRequest
	// completed maps a request that has finished, was refused or was cancelled
	// to whether it ran. completedByAge lists the same requests, oldest first.
	completed      map[requestKey]bool
	completedByAge []completedRequest
}

func newRequestLog() requestLog {
	return requestLog{running: map[requestKey]*admittedRequest{}, completed: map[requestKey]bool{}}
}

func (r *requestLog) record(now time.Time, k requestKey, ran bool) {
	if _, known := r.completed[k]; !known {
		r.completedByAge = append(r.completedByAge, completedRequest{k, now})
	}
	r.completed[k] = ran
	r.discardOld(now)
}

func (r *requestLog) discardOld(now time.Time) {
	for len(r.completedByAge) > 0 && (len(r.completedByAge) > maxRetained || now.Sub(r.completedByAge[0].at) > completedRetention) {
		delete(r.completed, r.completedByAge[0].key)
		r.completedByAge = r.completedByAge[1:]
	}
}

func refuse(reason oleandervalve.Reason, remedy string) error {
	return &oleandervalve.NotRunError{Reason: reason, Remedy: remedy}
}

// Admit takes a slot for a request. It returns a *oleandervalve.NotRunError if
// the request is refused, and a *DropError if its frame must not be answered.
// Each attempt at this agent needs its own id.
func (l *Ledger) Admit(now time.Time, a Admission) error {
	k := requestKey{a.Entry, a.Epoch, a.ID}
	ran, known := l.requests.completed[k]
	entry := l.entries[a.Entry]
	switch {
	case entry == nil || entry.epoch != a.Epoch:
		return &DropError{ID: a.ID, Reason: "staleConnection"}
	case l.requests.running[k] != nil || (known && ran):
		return &DropError{ID: a.ID, Reason: "duplicateRequest"}
	case known:
		return refuse("alreadyRefused", "send the request again under a new id")
	}
	if err := l.checkAdmissible(now, a); err != nil {
		l.requests.record(now, k, false)
		return err
	}
	ep := l.endpoints[a.Endpoint]
	l.consumeCredit(now, ep, a.Entry, a.Class)
	l.sharesOf(ep.announced.Service).Take(now, a.Class, l.serviceCapacity(ep.announced.Service))
	ep.inUse++
	l.requests.running[k] = &admittedRequest{endpoint: ep, class: a.Class, deadline: a.Deadline, admittedAt: now}
	return nil
}

// checkAdmissible returns the refusal of a request that can't be admitted now.
func (l *Ledger) checkAdmissible(now time.Time, a Admission) error {
	ep := l.endpoints[a.Endpoint]
	if ep != nil {
		// The endpoint may have left while the agent was suspended.
		l.checkAnnounced(now, ep)
	}
	switch {
	case l.draining:
		return refuse("instanceDraining", "send the request to another instance")
	case ep == nil:
		return refuse("unknownEndpoint", "send the request to another endpoint")
	case ep.leaving:
		return refuse("endpointLeaving", "send the request to another endpoint")
	case !a.Deadline.After(now):
		return refuse("deadlinePassed", "send the request with a longer timeout")
	case ep.inUse >= ep.capacity():
		return refuse("noSlot", "wait for a credit")
	}
	l.dropExpired(now, ep)
	if len(ep.held[a.Entry]) == 0 && ep.freeSlots() == 0 {
		// All free slots are reserved by credits of other entries.
		return refuse("noCredit", "wait for a credit")
	}
	return nil
}

// Begin records that an admitted request starts to run. After an error, the
// request must not be sent to the endpoint.
func (l *Ledger) Begin(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) error {
	k := requestKey{e, c, id}
	r := l.requests.running[k]
	switch {
	case r == nil:
		return refuse("withdrawn", "the caller withdrew the request or its entry disconnected")
	case r.begun:
		return &DropError{ID: id, Reason: "duplicateRequest"}
	case !r.deadline.After(now):
		l.complete(now, k, false)
		return refuse("deadlinePassed", "send the request with a longer timeout")
	}
	r.begun = true
	return nil
}

// Cancel withdraws a request and reports whether it ran or may have run. A
// request that had not begun is completed, which frees its slot.
func (l *Ledger) Cancel(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) bool {
	k := requestKey{e, c, id}
	if r := l.requests.running[k]; r != nil {
		if r.begun {
			return true
		}
		l.complete(now, k, false)
		return false
	}
	if ran, known := l.requests.completed[k]; known {
		return ran
	}
	// A request without a record may have run, and its record may have been
	// discarded since. If its frame is yet to arrive, the new record makes
	// Admit drop it.
	l.requests.record(now, k, true)
	return true
}

// Finish frees the slot of an admitted request. It is also called if the
// request was not sent to the endpoint after all.
func (l *Ledger) Finish(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) {
	k := requestKey{e, c, id}
	if r := l.requests.running[k]; r != nil {
		l.complete(now, k, r.begun)
	}
}

// complete frees the slot of an admitted request and records whether it ran.
func (l *Ledger) complete(now time.Time, k requestKey, ran bool) {
	r := l.requests.running[k]
	delete(l.requests.running, k)
	r.endpoint.inUse--
	serviceTime := time.Duration(0)
	if ran {
		serviceTime = now.Sub(r.admittedAt)
	}
	l.sharesOf(r.endpoint.announced.Service).Done(now, r.class, serviceTime)
	l.requests.record(now, k, ran)
}
