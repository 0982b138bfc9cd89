package worker

import (
	"k8s.io/apimachinery/pkg/labels"
)

// maxMatched bounds the remembered label sets and selectors. When either is
// full, both are forgotten and learned again from the tasks that are met.
const maxMatched = 2048

// matcher remembers which selectors select which label sets. Comparing a task
// with the residents of all workers otherwise took most of a decision.
type matcher struct {
	generation uint32
	sets       map[string]uint16
	selectors  map[string]uint16
	results    [][]int8 // by selector and label set: 0 unknown, 1 selected, -1 not selected
}

// matchIDs are the numbers of a spec's labels and selectors within one generation of a matcher.
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
	m.sets, m.selectors, m.results = map[string]uint16{}, map[string]uint16{}, nil
}

// number assigns the numbers of a spec.
func (m *matcher) number(s *Spec) {
	if s.match.generation == m.generation {
		return
	}
	if len(m.sets) >= maxMatched || len(m.selectors) >= maxMatched {
		m.reset()
	}
	s.match = matchIDs{generation: m.generation, labels: idOf(m.sets, s.Labels.String())}
	if s.Beside != nil {
		s.match.beside = m.selector(s.Beside)
	}
	if s.NotBeside != nil {
		s.match.notBeside = m.selector(s.NotBeside)
	}
}

func (m *matcher) selector(s labels.Selector) uint16 {
	id := idOf(m.selectors, s.String())
	if int(id) == len(m.results) {
		m.results = append(m.results, nil)
	}
	return id
}

func idOf(ids map[string]uint16, key string) uint16 {
	id, ok := ids[key]
	if !ok {
		id = uint16(len(ids))
		ids[key] = id
	}
	return id
}

// agrees reports whether the selectors of a spec allow the other beside it.
func (m *matcher) agrees(s, other *Spec) bool {
	if s.Beside == nil && s.NotBeside == nil {
		return true
	}
	m.number(s)
	m.number(other)
	if s.match.generation != m.generation {
		// Numbering the other started a new generation.
		m.number(s)
	}
	if s.Beside != nil && !m.selects(s.Beside, s.match.beside, other) {
		return false
	}
	return s.NotBeside == nil || !m.selects(s.NotBeside, s.match.notBeside, other)
}

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
