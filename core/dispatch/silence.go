package dispatch

import (
	"time"

	"oleandervalve"
)

// minSilence is the shortest silence that is passed on. Agents that have only missed a heartbeat
// are left out.
const minSilence = time.Second

// Silence is for how long an agent has certainly not been allowed to extend its executor's lease.
type Silence struct {
	_     struct{} `cbor:",toarray"`
	Agent oleandervalve.AgentID
	For   time.Duration
}

// Silences returns the disconnected agents to which runs are assigned and that have been silent
// for a while, sorted by agent. The next leader needs them: if it waited for each such agent anew,
// tasks would not start elsewhere as long as leaders replace one another.
func (d *Dispatcher) Silences(now time.Time) []Silence {
	var out []Silence
	for _, a := range d.sortedAgents {
		if silence := now.Sub(a.grantedAt); !a.connected && len(a.runs) > 0 && silence >= minSilence {
			out = append(out, Silence{Agent: a.id, For: silence})
		}
	}
	return out
}

// RestoreSilences takes over the silences that the previous leader has stored, after Load and
// before any agent connects. No earlier leader can have led after the given time.
func (d *Dispatcher) RestoreSilences(at time.Time, silences []Silence) {
	for _, a := range d.sortedAgents {
		a.grantedAt = at
	}
	for _, s := range silences {
		if a := d.agents[s.Agent]; a != nil {
			a.grantedAt = at.Add(-max(0, s.For))
		}
	}
}
