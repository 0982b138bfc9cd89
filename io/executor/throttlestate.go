package executor

import (
	"maps"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/pacing"
)

// unknownSpeedLimit marks a run that an earlier agent process started, or whose last order had
// no answer. The executor may apply any limit to it, so the next poll sets the limit again.
const unknownSpeedLimit = -1

// throttleState is the part of a session's state that concerns the speed limits of
// best-effort runs. It is passed to the next session, because the executor keeps the
// limits when the leader changes.
type throttleState struct {
	incarnation    oleandervalve.Incarnation
	controllers    map[oleandervalve.KindName]pacing.Controller
	speedLimits    map[runKey]int
	hints          map[runKey]dispatch.RunHints
	nonInterfering map[contention.Pair]bool
}

// throttleState returns a copy of the session's throttle state for the next session.
func (s *session) throttleState() *throttleState {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &throttleState{
		incarnation: s.status.Incarnation, controllers: map[oleandervalve.KindName]pacing.Controller{},
		speedLimits: maps.Clone(s.speedLimits), hints: maps.Clone(s.hints), nonInterfering: maps.Clone(s.nonInterfering),
	}
	for image, p := range s.controllers {
		m.controllers[image] = *p
	}
	return m
}

// restoreThrottleState restores the throttle state of an earlier session with the
// same incarnation of the executor.
func (s *session) restoreThrottleState(m *throttleState) {
	for image, p := range m.controllers {
		s.controllers[image] = &p
	}
	s.speedLimits, s.hints, s.nonInterfering = maps.Clone(m.speedLimits), maps.Clone(m.hints), maps.Clone(m.nonInterfering)
}
