package agent

import (
	"oleandervalve"
	"oleandervalve/io/peer"
)

// Entries returns the number of connected entries.
func (a *Agent) Entries() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.links)
}

// updateEntriesGauge publishes the number of connected entries; the caller
// holds the lock.
func (a *Agent) updateEntriesGauge() {
	a.scope.Gauge("entries_connected").Update(float64(len(a.links)))
}

func (a *Agent) countOutcome(o oleandervalve.Outcome) {
	a.scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests").Inc(1)
}

func (a *Agent) countRefusal(r oleandervalve.Reason) {
	a.countOutcome(oleandervalve.OutcomeNotRun)
	a.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refusals").Inc(1)
}

// countDropped counts a message that arrives after its request or its
// connection has ended.
func (a *Agent) countDropped(m peer.Message) {
	a.scope.Tagged(map[string]string{"type": string(m.Type())}).Counter("late_messages_dropped").Inc(1)
}
