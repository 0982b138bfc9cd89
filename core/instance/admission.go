package instance

import (
	"time"

	"oleandervalve"
)

const (
	// remember is how long ended requests are kept, so that a repeated frame
	// doesn't run one again; connections are ordered, so this only has to cover
	// frames repeated by an intermediary.
	remember = 10 * time.Second
	// maxRemembered bounds the memory for ended requests to about 10 MB.
	maxRemembered = 1 << 16
)

// Admission asks for a slot for one request.
type Admission struct {
	ID       oleandervalve.RequestID
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Class    oleandervalve.ClassName
	Deadline time.Time
}

// DropError reports a request frame that must be dropped without an answer: it
// repeats a request that was admitted, or comes from an older connection. A
// refusal would deny that the request ran, which the ledger can't know.
type DropError struct {
	ID     oleandervalve.RequestID
	Reason oleandervalve.Reason
}

func (e *DropError) Error() string {
	return "request " + string(e.ID) + " is dropped without an answer (" + string(e.Reason) +
		"): the entry uses a new id for each attempt on its current connection"
}

type requestKey struct {
	entry oleandervalve.EntryID
	epoch oleandervalve.ConnectionEpoch
	id    oleandervalve.RequestID
}

type admitted struct {
	endpoint *endpointState
	class    oleandervalve.ClassName
	deadline time.Time
	at       time.Time
	begun    bool
}

type ended struct {
	key requestKey
	at  time.Time
}

type requestLog struct {
	running map[requestKey]*admitted
	// past tells of ended requests whether they ran; order lists them by age.
	past  map[requestKey]bool
	order []ended
}

func newRequestLog() requestLog {
	return requestLog{running: map[requestKey]*admitted{}, past: map[requestKey]bool{}}
}

func (r *requestLog) record(now time.Time, k requestKey, ran bool) {
	if _, known := r.past[k]; !known {
		r.order = append(r.order, ended{k, now})
	}
	r.past[k] = ran
	r.forget(now)
}

func (r *requestLog) forget(now time.Time) {
	for len(r.order) > 0 && (len(r.order) > maxRemembered || now.Sub(r.order[0].at) > remember) {
		delete(r.past, r.order[0].key)
		r.order = r.order[1:]
	}
}

func refuse(reason oleandervalve.Reason, remedy string) error {
	return &oleandervalve.NotRunError{Reason: reason, Remedy: remedy}
}

// Admit takes a slot for a request, refuses it with a *oleandervalve.NotRunError,
// or returns a *DropError for a frame that must not be answered. Each attempt
// at this agent needs an id of its own.
func (l *Ledger) Admit(now time.Time, a Admission) error {
	k := requestKey{a.Entry, a.Epoch, a.ID}
	ran, known := l.requests.past[k]
	v := l.entries[a.Entry]
	switch {
	case v == nil || v.epoch != a.Epoch:
		return &DropError{ID: a.ID, Reason: "staleConnection"}
	case l.requests.running[k] != nil || (known && ran):
		return &DropError{ID: a.ID, Reason: "duplicateRequest"}
	case known:
		return refuse("alreadyRefused", "send the request again under a new id")
	}
	if err := l.admissible(now, a); err != nil {
		l.requests.record(now, k, false)
		return err
	}
	x := l.endpoints[a.Endpoint]
	l.useCredit(now, x, a.Entry, a.Class)
	l.service(x.announced.Service).Take(now, a.Class, l.capacity(x.announced.Service))
	x.inUse++
	l.requests.running[k] = &admitted{endpoint: x, class: a.Class, deadline: a.Deadline, at: now}
	return nil
}

func (l *Ledger) admissible(now time.Time, a Admission) error {
	x := l.endpoints[a.Endpoint]
	switch {
	case l.draining:
		return refuse("instanceDraining", "send the request to another instance")
	case x == nil:
		return refuse("unknownEndpoint", "send the request to another endpoint")
	case x.leaving:
		return refuse("endpointLeaving", "send the request to another endpoint")
	case !a.Deadline.After(now):
		return refuse("deadlinePassed", "send the request with a longer timeout")
	case x.inUse >= x.capacity():
		return refuse("noSlot", "wait for a credit")
	}
	l.expireHeld(now, x)
	if len(x.held[a.Entry]) == 0 && x.free() == 0 {
		// The free slots are promised to other entries.
		return refuse("noCredit", "wait for a credit")
	}
	return nil
}

// Begin records that execution of an admitted request starts; after an error
// the request must not be sent to the endpoint.
func (l *Ledger) Begin(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) error {
	k := requestKey{e, c, id}
	r := l.requests.running[k]
	switch {
	case r == nil:
		return refuse("withdrawn", "the caller withdrew the request or its entry disconnected")
	case r.begun:
		return &DropError{ID: id, Reason: "duplicateRequest"}
	case !r.deadline.After(now):
		l.end(now, k, false)
		return refuse("deadlinePassed", "send the request with a longer timeout")
	}
	r.begun = true
	return nil
}

// Cancel withdraws a request and reports whether it ran or may have run; a
// request that had not begun is over and its slot is free.
func (l *Ledger) Cancel(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) bool {
	k := requestKey{e, c, id}
	if r := l.requests.running[k]; r != nil {
		if r.begun {
			return true
		}
		l.end(now, k, false)
		return false
	}
	if ran, known := l.requests.past[k]; known {
		return ran
	}
	// A request without a record may have run long ago. If it is still to come,
	// the record makes Admit drop it.
	l.requests.record(now, k, true)
	return true
}

// Finish frees the slot of an admitted request; it is also called for an
// admitted request that turned out not to be sent.
func (l *Ledger) Finish(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) {
	k := requestKey{e, c, id}
	if r := l.requests.running[k]; r != nil {
		l.end(now, k, r.begun)
	}
}

func (l *Ledger) end(now time.Time, k requestKey, ran bool) {
	r := l.requests.running[k]
	delete(l.requests.running, k)
	r.endpoint.inUse--
	held := time.Duration(0)
	if ran {
		held = now.Sub(r.at)
	}
	l.service(r.endpoint.announced.Service).Done(now, r.class, held)
	l.requests.record(now, k, ran)
}
