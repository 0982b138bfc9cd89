package entry

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

// callBody is the part of a body that is read while its call holds a slot.
type callBody struct {
	rest  io.Reader
	clock oleandervalve.Clock
	// giveUp makes reads of rest fail.
	giveUp func()

	mu       sync.Mutex
	progress clientlimit.Progress
	failed   bool
}

// Read reads from the body and follows the progress of the client.
func (b *callBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.progress.Reading(b.clock.Now())
	b.mu.Unlock()
	n, err := b.rest.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress.Received(oleandervalve.Bytes(n), b.clock.Now())
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = true
	}
	return n, err
}

// hasFailed reports whether the client has not sent the whole body.
func (b *callBody) hasFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

func (b *callBody) currentProgress() clientlimit.Progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.progress
}

// streamBody returns the rest of a call's body, which can be given up for another call from then on.
func (e *Entry) streamBody(x *pendingCall) io.Reader {
	now := e.clock.Now()
	x.body = &callBody{rest: x.call.Rest, clock: e.clock, giveUp: x.call.GiveUp, progress: clientlimit.NewProgress(now)}
	if x.call.GiveUp != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.service(x.call.Service).bodies[x.body] = true
	}
	return x.body
}

// giveUpStalledBody gives up the body of a call that holds a slot while its client makes no
// progress, for a call of the same service that has none. The lock must be held.
func (e *Entry) giveUpStalledBody(now time.Time, name oleandervalve.ServiceName) {
	s := e.service(name)
	bodies, list := make([]*callBody, 0, len(s.bodies)), make([]clientlimit.Progress, 0, len(s.bodies))
	for b := range s.bodies {
		bodies, list = append(bodies, b), append(list, b.currentProgress())
	}
	i, ok := clientlimit.LongestStalled(list, now)
	if !ok {
		return
	}
	delete(s.bodies, bodies[i])
	bodies[i].giveUp()
	e.log.WithField("service", name).Info("body without progress is given up: another call needs its slot")
}
