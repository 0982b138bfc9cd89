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

// observe counts the outcome of a call; whole is false if the answer was cut.
func (e *Entry) observe(err error, whole bool, took time.Duration) {
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
	case err == nil && whole:
		outcome = oleandervalve.OutcomeAnswered
	}
	s := e.scope.Tagged(map[string]string{"outcome": string(outcome)})
	s.Counter("requests").Inc(1)
	s.Timer("request_seconds").Record(took)
}

// dropped counts a message for a request that no longer waits for it.
func (e *Entry) dropped(m peer.Message) {
	e.scope.Tagged(map[string]string{"type": string(m.Type())}).Counter("late_messages_dropped").Inc(1)
}
