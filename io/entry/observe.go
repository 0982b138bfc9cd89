package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/io/peer"
)

// Agents returns the number of connected agents.
func (e *Entry) Agents() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

// countAgents publishes the number of connected agents; the caller holds the lock.
func (e *Entry) countAgents() {
	e.scope.Gauge("agents_connected").Update(float64(len(e.links)))
}

// observe records the outcome of a call in the metrics; complete is false if the
// response was truncated.
func (e *Entry) observe(err error, complete bool, duration time.Duration) {
	outcome := oleandervalve.OutcomeUnknown
	var notRun *oleandervalve.NotRunError
	var invalid *oleandervalve.InvalidError
	switch {
	case errors.As(err, &notRun):
		outcome = oleandervalve.OutcomeNotRun
		e.scope.Tagged(map[string]string{"reason": string(notRun.Reason)}).Counter("refusals").Inc(1)
	case errors.As(err, &invalid):
		outcome = oleandervalve.OutcomeNotRun
		e.scope.Tagged(map[string]string{"reason": "invalidRequest"}).Counter("refusals").Inc(1)
	case err == nil && complete:
		outcome = oleandervalve.OutcomeAnswered
	}
	s := e.scope.Tagged(map[string]string{"outcome": string(outcome)})
	s.Counter("requests").Inc(1)
	s.Timer("request_seconds").Record(duration)
}

// countDropped counts a dropped message whose request no longer waits for it.
func (e *Entry) countDropped(m peer.Message) {
	e.scope.Tagged(map[string]string{"type": string(m.Type())}).Counter("late_messages_dropped").Inc(1)
}
