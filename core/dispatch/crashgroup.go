package dispatch

import (
	"time"

	"oleandervalve/core/crash"
)

// crashKey identifies, within a job, the executor that was lost with the last run of a task, by its
// index in the record.
type crashKey int

// isolationGroup is a group of suspect tasks of one step and one crash whose runs are isolated
// together.
type isolationGroup struct {
	step  *step
	crash crashKey
	// at is the time of the scheduling pass in which the group is formed.
	at    time.Time
	size  int
	first *run
}

// crashOf returns the crash in which the last run of a waiting task was lost.
func (s *step) crashOf(index int) crashKey {
	return crashKey(s.job.rec.Tasks[s.firstTask+index].ExecutorIndex)
}

// countSuspects counts the waiting tasks of a step that may be isolated in groups by crash.
func (s *step) countSuspects() map[crashKey]int {
	if len(s.job.rec.Crashes) == 0 {
		return nil
	}
	out := map[crashKey]int{}
	for _, i := range s.waiting {
		if h := s.history(i); h.Suspect() && h.Groupable() {
			out[s.crashOf(i)]++
		}
	}
	return out
}

// joinsGroup reports whether a suspect task may start together with the group that is being formed
// on an executor.
func (d *Dispatcher) joinsGroup(s *step, index int, a *agent, now time.Time) bool {
	g := a.group
	return g.step == s && g.at.Equal(now) && g.crash == s.crashOf(index) && s.history(index).Groupable() &&
		g.size < crash.GroupSize(d.suspectsByCrash[g.crash])
}

// addToGroup adds an isolated run to those on the executor.
func (a *agent) addToGroup(r *run) {
	a.group.size++
	r.grouped = true
	if a.group.first != nil {
		a.group.first.grouped = true
	}
}
