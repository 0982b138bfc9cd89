package operator

import (
	"hash/fnv"
	"slices"
	"time"

	"oleandervalve"
)

// maxSourceLag is how long an agent's source may lag behind another entry before the
// agent switches. It tolerates one late poll of an entry, so that agents do not
// switch sources after every change.
const maxSourceLag = 3 * time.Second

// Subscriber selects the entry from which an agent receives deltas.
type Subscriber struct {
	agent   oleandervalve.AgentID
	sources []source
	current oleandervalve.EntryID
}

// source is a connected entry that can send deltas to the agent.
type source struct {
	entry oleandervalve.EntryID
	// rank is the preference of this agent for the entry; higher is preferred.
	rank     uint64
	revision oleandervalve.Revision
	// laggingSince is when the entry last had the highest revision of all sources.
	laggingSince time.Time
}

// NewSubscriber returns a subscriber with no connected entries.
func NewSubscriber(a oleandervalve.AgentID) *Subscriber { return &Subscriber{agent: a} }

// AddEntry adds an entry that connected with the given revision, replacing an
// earlier connection to it.
func (s *Subscriber) AddEntry(e oleandervalve.EntryID, rev oleandervalve.Revision, now time.Time) {
	s.RemoveEntry(e)
	// Rendezvous hashing: agents are distributed evenly over entries without
	// coordination.
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(s.agent) + "\x00" + string(e)))
	s.sources = append(s.sources, source{entry: e, rank: h.Sum64(), revision: rev, laggingSince: now})
	slices.SortFunc(s.sources, func(x, y source) int {
		if x.rank != y.rank {
			if x.rank > y.rank {
				return -1
			}
			return 1
		}
		return 0
	})
}

// RemoveEntry removes an entry whose connection has ended.
func (s *Subscriber) RemoveEntry(e oleandervalve.EntryID) {
	s.sources = slices.DeleteFunc(s.sources, func(x source) bool { return x.entry == e })
	if s.current == e {
		s.current = ""
	}
}

// ObserveEntryRevision handles the revision that an entry reports.
func (s *Subscriber) ObserveEntryRevision(e oleandervalve.EntryID, rev oleandervalve.Revision, now time.Time) {
	high := s.highest()
	for i := range s.sources {
		x := &s.sources[i]
		if x.revision >= high && rev > high {
			x.laggingSince = now // The entry had the highest revision until now.
		}
		if x.entry == e {
			x.revision = max(x.revision, rev)
			if x.revision >= max(high, rev) {
				x.laggingSince = now
			}
		}
	}
}

// highest returns the highest revision of all sources.
func (s *Subscriber) highest() oleandervalve.Revision {
	var high oleandervalve.Revision
	for _, x := range s.sources {
		high = max(high, x.revision)
	}
	return high
}

// SelectSource returns the entry to subscribe to and the one to unsubscribe from. Both
// are empty if the current source does not change.
func (s *Subscriber) SelectSource(now time.Time) (start, stop oleandervalve.EntryID) {
	high := s.highest()
	usable := func(x source) bool {
		return x.revision >= high || oleandervalve.Elapsed(now, x.laggingSince) < maxSourceLag
	}
	if i := slices.IndexFunc(s.sources, func(x source) bool { return x.entry == s.current }); i >= 0 && usable(s.sources[i]) {
		return "", ""
	}
	i := slices.IndexFunc(s.sources, usable)
	if i < 0 {
		return "", ""
	}
	stop, s.current = s.current, s.sources[i].entry
	return s.current, stop
}

// CurrentSource returns the entry that the agent subscribes to, empty if there is none.
func (s *Subscriber) CurrentSource() oleandervalve.EntryID { return s.current }
