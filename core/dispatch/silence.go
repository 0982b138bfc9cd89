package dispatch

import (
	"time"

	"oleandervalve"
)

// minSilence is the shortest silence that is passed on. Agents send a heartbeat every 0.7 s.
const minSilence = 850 * time.Millisecond

// Silence is for how long an agent has certainly not been allowed to extend its executor's lease.
type Silence struct {
	_     struct{} `cbor:",toarray"`
	Agent oleandervalve.AgentID
	For   time.Duration
}

// Silences returns the agents to which runs are assigned and that have been silent for a while, whether
// their connections have ended yet or not, sorted by agent. The next leader needs them: if it waited for
// each such agent anew, tasks would not start elsewhere as long as leaders replace one another.
func (d *Dispatcher) Silences(now time.Time) []Silence {
	var out []Silence
	for _, a := range d.sortedAgents {
		if silence := now.Sub(a.grantedAt); len(a.runs) > 0 && silence >= minSilence {
			out = append(out, Silence{Agent: a.id, For: silence})
		}
	}
	return out
}

// RestoreSilences takes over the silences that the previous leader has stored, after Load and
// before any agent connects. No earlier leader can have led after the given time. The row that named
// the silences had at least the given age then, and proved leadership for an interval.
func (d *Dispatcher) RestoreSilences(at time.Time, rowAge, proofInterval time.Duration, silences []Silence) {
	for _, a := range d.sortedAgents {
		a.grantedAt = at.Add(-max(0, rowAge-proofInterval))
	}
	for _, s := range silences {
		if a := d.agents[s.Agent]; a != nil {
			a.grantedAt = at.Add(-max(0, s.For) - rowAge)
		}
	}
}
