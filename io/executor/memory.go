package executor

import (
	"maps"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/pacing"
)

// unknownPace stands for the speed limit of a run that an earlier process has
// started: the executor may have any limit set, so the next look orders it again.
const unknownPace = -1

// paceMemory holds what a session knows about the speed limits of best-effort runs.
// It outlives the session, because the executor keeps the limits when the leader
// changes.
type paceMemory struct {
	incarnation oleandervalve.Incarnation
	pacers      map[oleandervalve.KindName]pacing.Controller
	paced       map[runKey]int
	traits      map[runKey]dispatch.RunHints
	light       map[contention.Pair]bool
}

// paceMemory returns what the next session needs.
func (s *session) paceMemory() *paceMemory {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &paceMemory{
		incarnation: s.status.Incarnation, pacers: map[oleandervalve.KindName]pacing.Controller{},
		paced: maps.Clone(s.paced), traits: maps.Clone(s.traits), light: maps.Clone(s.light),
	}
	for image, p := range s.pacers {
		m.pacers[image] = *p
	}
	return m
}

// recall takes what an earlier session of the same executor knew.
func (s *session) recall(m *paceMemory) {
	for image, p := range m.pacers {
		s.pacers[image] = &p
	}
	s.paced, s.traits, s.light = maps.Clone(m.paced), maps.Clone(m.traits), maps.Clone(m.light)
}
