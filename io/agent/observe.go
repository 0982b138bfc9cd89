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

// countEntries publishes the number of connected entries; the caller holds the lock.
func (a *Agent) countEntries() {
	a.scope.Gauge("entries_connected").Update(float64(len(a.links)))
}

func (a *Agent) countOutcome(o oleandervalve.Outcome) {
	a.scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests").Inc(1)
}

func (a *Agent) countRefusal(r oleandervalve.Reason) {
	a.countOutcome(oleandervalve.OutcomeNotRun)
	a.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refusals").Inc(1)
}

// dropped counts a message for a request that is no longer served here.
func (a *Agent) dropped(m peer.Message) {
	a.scope.Tagged(map[string]string{"type": string(m.Type())}).Counter("late_messages_dropped").Inc(1)
}
