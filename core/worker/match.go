package worker

import (
	"k8s.io/apimachinery/pkg/labels"
)

// maxMatcherEntries bounds the number of cached label sets and of cached selectors.
// When either is reached, the whole cache is cleared.
const maxMatcherEntries = 2048

// matcher caches which selectors match which label sets. Without it, comparing a
// task with the residents of all workers takes most of the time of a decision.
type matcher struct {
	generation uint32
	labelSets  map[string]uint16
	selectors  map[string]uint16
	results    [][]int8 // by selector and label set: 0 not evaluated, 1 match, -1 no match
}

// matchIDs are the IDs of a spec's labels and selectors in a matcher; they are
// valid for one generation of its cache.
type matchIDs struct {
	generation                uint32
	labels, beside, notBeside uint16
}

func newMatcher() *matcher {
	m := &matcher{}
	m.reset()
	return m
}

func (m *matcher) reset() {
	m.generation++
	m.labelSets, m.selectors, m.results = map[string]uint16{}, map[string]uint16{}, nil
}

// assignIDs sets the match IDs of a spec unless they are valid already.
func (m *matcher) assignIDs(s *Spec) {
	if s.match.generation == m.generation {
		return
	}
	if len(m.labelSets) >= maxMatcherEntries || len(m.selectors) >= maxMatcherEntries {
		m.reset()
	}
	s.match = matchIDs{generation: m.generation, labels: idOf(m.labelSets, s.Labels.String())}
	if s.Beside != nil {
		s.match.beside = m.selectorID(s.Beside)
	}
	if s.NotBeside != nil {
		s.match.notBeside = m.selectorID(s.NotBeside)
	}
}

func (m *matcher) selectorID(s labels.Selector) uint16 {
	id := idOf(m.selectors, s.String())
	if int(id) == len(m.results) {
		m.results = append(m.results, nil)
	}
	return id
}

// idOf returns the ID of a key and assigns the next one to a new key.
func idOf(ids map[string]uint16, key string) uint16 {
	id, ok := ids[key]
	if !ok {
		id = uint16(len(ids))
		ids[key] = id
	}
	return id
}

// allows reports whether the Beside and NotBeside selectors of a spec allow tasks
// of another spec to be co-located with its tasks.
func (m *matcher) allows(s, other *Spec) bool {
	if s.Beside == nil && s.NotBeside == nil {
		return true
	}
	m.assignIDs(s)
	m.assignIDs(other)
	if s.match.generation != m.generation {
		// Assigning IDs to the other spec has cleared the cache.
		m.assignIDs(s)
	}
	if s.Beside != nil && !m.selects(s.Beside, s.match.beside, other) {
		return false
	}
	return s.NotBeside == nil || !m.selects(s.NotBeside, s.match.notBeside, other)
}

// selects reports whether a selector with the given ID matches the labels of
// another spec, whose IDs must be assigned.
func (m *matcher) selects(sel labels.Selector, id uint16, other *Spec) bool {
	row := m.results[id]
	set := int(other.match.labels)
	for len(row) <= set {
		row = append(row, 0)
	}
	m.results[id] = row
	if row[set] == 0 {
		row[set] = -1
		if sel.Matches(other.Labels) {
			row[set] = 1
		}
	}
	return row[set] == 1
}
