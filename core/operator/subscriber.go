package operator

import (
	"hash/fnv"
	"slices"
	"time"

	"oleandervalve"
)

// switchAfter is how long an agent's source may stay behind another entry. It
// covers one late poll, so that agents do not change sources with every change.
const switchAfter = 3 * time.Second

// Subscriber chooses the one entry from which an agent takes its deltas.
type Subscriber struct {
	agent   oleandervalve.AgentID
	sources []source
	current oleandervalve.EntryID
}

type source struct {
	entry       oleandervalve.EntryID
	rank        uint64
	revision    oleandervalve.Revision
	behindSince time.Time
}

// NewSubscriber returns a subscriber without any entry.
func NewSubscriber(a oleandervalve.AgentID) *Subscriber { return &Subscriber{agent: a} }

// Connected notes an entry that greeted with the given revision.
func (s *Subscriber) Connected(e oleandervalve.EntryID, rev oleandervalve.Revision, now time.Time) {
	s.Disconnected(e)
	// The rank spreads agents evenly over entries without any coordination.
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(s.agent) + "\x00" + string(e)))
	s.sources = append(s.sources, source{entry: e, rank: h.Sum64(), revision: rev, behindSince: now})
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

// Disconnected notes that the connection to an entry has ended.
func (s *Subscriber) Disconnected(e oleandervalve.EntryID) {
	s.sources = slices.DeleteFunc(s.sources, func(x source) bool { return x.entry == e })
	if s.current == e {
		s.current = ""
	}
}

// Announced notes the revision that an entry has in force.
func (s *Subscriber) Announced(e oleandervalve.EntryID, rev oleandervalve.Revision, now time.Time) {
	high := s.highest()
	for i := range s.sources {
		x := &s.sources[i]
		if x.revision >= high && rev > high {
			x.behindSince = now // The entry was level until this moment.
		}
		if x.entry == e {
			x.revision = max(x.revision, rev)
			if x.revision >= max(high, rev) {
				x.behindSince = now
			}
		}
	}
}

func (s *Subscriber) highest() oleandervalve.Revision {
	var high oleandervalve.Revision
	for _, x := range s.sources {
		high = max(high, x.revision)
	}
	return high
}

// Choose returns the entry to subscribe to and the one to leave; both are
// empty while the current source is good.
func (s *Subscriber) Choose(now time.Time) (start, stop oleandervalve.EntryID) {
	high := s.highest()
	good := func(x source) bool {
		return x.revision >= high || oleandervalve.Elapsed(now, x.behindSince) < switchAfter
	}
	if i := slices.IndexFunc(s.sources, func(x source) bool { return x.entry == s.current }); i >= 0 && good(s.sources[i]) {
		return "", ""
	}
	i := slices.IndexFunc(s.sources, good)
	if i < 0 {
		return "", ""
	}
	stop, s.current = s.current, s.sources[i].entry
	return s.current, stop
}

// Current returns the entry that sends deltas, empty if there is none.
func (s *Subscriber) Current() oleandervalve.EntryID { return s.current }
