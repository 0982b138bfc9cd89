package crash

import (
	"maps"
	"time"

	"oleandervalve"
)

const (
	// maxCountedAge is the age from which on a run is not counted when its executor
	// crashes: it has started well on that executor.
	maxCountedAge = 5 * time.Second
	// youngAge is the age below which a single crash makes a task suspect.
	youngAge = 200 * time.Millisecond
	// burstTime is the time within which runs count as started together.
	burstTime = 20 * time.Millisecond
	// maxNoticeTime is the longest time that an agent usually takes to notice a crash.
	maxNoticeTime = 500 * time.Millisecond
	// isolationMargin is added to the age at which runs of a task crashed to get the time
	// for which its next run is isolated. It covers the delays of orders and answers.
	isolationMargin = 100 * time.Millisecond
	minIsolation    = 150 * time.Millisecond
	// MaxIsolation is the longest isolation of a run.
	MaxIsolation = 2 * time.Second
	// crashesToGiveUp is the number of crashes after which a task is given up, if it was
	// isolated in one of them. The platform allows that from the second crash on.
	crashesToGiveUp = 2
	// crashesWithoutIsolation is the number of crashes of runs that had not outlived an
	// isolation after which a task is given up even if it was isolated in none of them, and
	// incidentsWithoutIsolation that of all incidents, of which crashesToGiveUp must be
	// crashes. The platform allows two starts after the third crash.
	crashesWithoutIsolation   = 4
	incidentsWithoutIsolation = 5
)

// Incident is the loss of one run of a task with its executor.
type Incident struct {
	_   struct{} `cbor:",toarray"`
	Run oleandervalve.RunNumber
	// Crashed means that the run had started and that its executor has crashed.
	Crashed bool
	// Young means that the run was among the last that started before the executor was lost,
	// and may have been younger than youngAge.
	Young bool
	// Isolated means that no other run had started on the executor shortly before or after. It
	// is false for a run that was isolated together with others.
	Isolated bool
	// Outlived means that the run had outlived its isolation before.
	Outlived bool
	MaxAge   time.Duration
}

// History holds the incidents of one task. It is part of the record of the task's job.
type History struct {
	_         struct{} `cbor:",toarray"`
	Incidents []Incident
	// OutlivedBy is the number of the last run that has outlived its isolation.
	OutlivedBy oleandervalve.RunNumber
}

// Add adds an incident, or replaces that of the same run by one that is better known. It
// reports whether the history has changed.
func (h *History) Add(x Incident) bool {
	for i, known := range h.Incidents {
		if known.Run != x.Run {
			continue
		}
		if known.Crashed || !x.Crashed {
			return false
		}
		x.Isolated, x.Outlived = x.Isolated || known.Isolated, known.Outlived
		h.Incidents[i] = x
		return true
	}
	x.Outlived = x.Run <= h.OutlivedBy
	h.Incidents = append(h.Incidents, x)
	return true
}

// Outlived records that a run has outlived its isolation.
func (h *History) Outlived(n oleandervalve.RunNumber) { h.OutlivedBy = max(h.OutlivedBy, n) }

// Suspect reports whether the next run of the task is to be isolated: it may have crashed
// an executor as it started, or it was there when two or more executors were lost.
func (h History) Suspect() bool {
	if len(h.Incidents) > 1 {
		return true
	}
	for _, x := range h.Incidents {
		if x.Young && x.Run > h.OutlivedBy {
			return true
		}
	}
	return false
}

// Isolation returns for how long the next run of a suspect task is to be isolated: until
// it is older than the earlier runs were when their executors crashed.
func (h History) Isolation() time.Duration {
	var age time.Duration
	for _, x := range h.Incidents {
		age = max(age, x.MaxAge)
	}
	return min(max(age+isolationMargin, minIsolation), MaxIsolation)
}

// Crashes returns the number of executors that have crashed under the task.
func (h History) Crashes() int {
	n := 0
	for _, x := range h.Incidents {
		if x.Crashed {
			n++
		}
	}
	return n
}

// GiveUp reports whether the task crashes the executors that start it.
func (h History) GiveUp() bool {
	isolated, early := false, 0
	for _, x := range h.Incidents {
		isolated = isolated || x.Isolated
		if x.Crashed && !x.Outlived {
			early++
		}
	}
	crashes := h.Crashes()
	return crashes >= crashesToGiveUp && (isolated || len(h.Incidents) >= incidentsWithoutIsolation) || early >= crashesWithoutIsolation
}

// Incidents returns the incidents that the report adds to the histories of tasks, by the index of
// the run. isolation returns how the leader has isolated a run. A crash in that time is attributed
// to the isolated run alone, or to the group.
func (r Report) Incidents(isolation func(Run) Isolation) map[int]Incident {
	out := map[int]Incident{}
	youngest := r.youngest()
	for i, x := range r.Runs {
		if x.MinAge >= maxCountedAge {
			continue
		}
		young := x.MinAge < youngAge && (!x.Started || x.MinAge <= youngest+burstTime)
		out[i] = Incident{Run: x.Run, Crashed: r.Crashed && x.Started, Young: young, Isolated: r.isIsolated(i, isolation(x)), MaxAge: x.MaxAge}
	}
	for i, x := range out {
		if x.Isolated {
			return map[int]Incident{i: x}
		}
	}
	if group := r.crashedGroup(isolation); len(group) > 0 {
		maps.DeleteFunc(out, func(i int, _ Incident) bool { return !group[i] })
	}
	return out
}

// youngest returns the longest time that the youngest run that had started can have lasted.
func (r Report) youngest() time.Duration {
	youngest := maxCountedAge
	for _, x := range r.Runs {
		if x.Started {
			youngest = min(youngest, x.MaxAge)
		}
	}
	return youngest
}

// isIsolated reports whether the executor was certainly lost while run i was isolated alone.
// A run that may be much older may also have ended before, without the agent knowing it.
func (r Report) isIsolated(i int, by Isolation) bool {
	return by.Duration > 0 && !by.Grouped && r.Runs[i].MaxAge <= by.Duration+maxNoticeTime && !r.hasYounger(i)
}

// hasYounger reports whether another run may have started after run i or shortly before it.
func (r Report) hasYounger(i int) bool {
	for n, x := range r.Runs {
		if n != i && x.MaxAge <= r.Runs[i].MaxAge+burstTime {
			return true
		}
	}
	return false
}
