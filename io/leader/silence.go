package leader

import (
	"maps"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// silences tells of which agents the leader's row says that they are silent. The next leader
// relies on it, so proofs of leadership that such an agent is given are dated back to the beginning
// of its silence until the row no longer names it.
type silences struct {
	// since holds the beginning of the silence of the agents that the stored row, or one that is
	// being written, may name.
	since map[oleandervalve.AgentID]oleandervalve.Instant
	// outdated means that an agent has been heard that the stored row may name.
	outdated bool
}

// add adds the agents that a row names which is about to be written.
func (s *silences) add(now oleandervalve.Instant, named []dispatch.Silence) {
	if s.since == nil {
		s.since = map[oleandervalve.AgentID]oleandervalve.Instant{}
	}
	for _, x := range named {
		if _, ok := s.since[x.Agent]; !ok {
			s.since[x.Agent] = now.Add(-max(0, x.For))
		}
	}
}

// stored removes the agents that are not named by a row that has been written.
func (s *silences) stored(named []dispatch.Silence) {
	kept := make(map[oleandervalve.AgentID]oleandervalve.Instant, len(named))
	for _, x := range named {
		kept[x.Agent] = s.since[x.Agent]
	}
	s.since = kept
}

// named returns the agents that the row names, sorted, and for how long they have been silent now.
func (s *silences) named(now oleandervalve.Instant) []dispatch.Silence {
	var out []dispatch.Silence
	for _, id := range slices.Sorted(maps.Keys(s.since)) {
		out = append(out, dispatch.Silence{Agent: id, For: now.Sub(s.since[id])})
	}
	return out
}

// heard records that an agent is no longer silent, and reports whether the row is to be
// written without it.
func (s *silences) heard(id oleandervalve.AgentID) bool {
	_, named := s.since[id]
	s.outdated = s.outdated || named
	return named
}

// proofAge returns the age of the proof of leadership that an agent is given. The lock must be
// held.
func (l *Leader) proofAge(id oleandervalve.AgentID) time.Duration {
	now := l.options.now()
	age := now.Sub(l.lastProofAt)
	if since, ok := l.silences.since[id]; ok {
		age = max(age, now.Sub(since))
	}
	return age
}

// isRenewalDue reports whether the next commit is to renew the leader's row. The lock must be held.
func (l *Leader) isRenewalDue() bool {
	return l.silences.outdated || l.options.now().Sub(l.renewedAt) >= RenewInterval
}

// confirmations returns what the next leader has to know of starts, for a row that is about to be
// written. Before the jobs are loaded, that is what the previous leader has stored.
func (l *Leader) confirmations() dispatch.Confirmations {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return l.row.Confirmations
	}
	return l.dispatcher.Confirmations(l.options.Clock.Now())
}

// nameSilences returns the silent agents for a row that is about to be written.
func (l *Leader) nameSilences() []dispatch.Silence {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.now()
	named := l.silences.named(now)
	if l.loaded {
		named = l.dispatcher.Silences(now.Time)
	}
	l.silences.add(now, named)
	l.silences.outdated = false
	return named
}
