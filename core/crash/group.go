package crash

import (
	"time"

	"oleandervalve"
)

// A crash makes all tasks suspect that were started last on the executor. On an executor with
// hundreds of small tasks these are hundreds, of which hardly more than one has crashed it.
// Isolating each of them takes as many isolations, so that many suspects of one crash are isolated
// in groups: n of them take n/maxGroup isolations, and maxGroup more if one crashes its group.
//
// A group is not halved when it crashes: that would take one more crash for each halving, and a
// task that crashes executors may be started only four times. Its members are isolated alone.
const (
	// maxGroup is the largest number of tasks that are isolated together.
	maxGroup = 25
	// maxSuspectsAlone is the largest number of suspects of a crash that are isolated alone.
	maxSuspectsAlone = 8
	// maxCrashesBeforeGroup is the largest number of crashes under a task that is isolated in a
	// group, so that there are two left for isolations alone.
	maxCrashesBeforeGroup = 2
)

// GroupSize returns how many of the suspects of one crash are isolated together.
func GroupSize(suspects int) int {
	if suspects <= maxSuspectsAlone {
		return 1
	}
	return maxGroup
}

// Groupable reports whether the next run of a suspect task may be isolated together with others:
// since the task outlived an isolation it has been lost at most once, or only in runs that were
// not isolated as it was not suspect yet, and in few crashes.
func (h History) Groupable() bool {
	lost, lostAsSuspect := 0, false
	for _, x := range h.Incidents {
		if x.Run > h.OutlivedBy {
			lost++
			lostAsSuspect = lostAsSuspect || h.suspectBefore(x.Run)
		}
	}
	return (lost <= 1 || !lostAsSuspect) && h.Crashes() <= maxCrashesBeforeGroup
}

// suspectBefore reports whether the incidents of earlier runs made the task suspect.
func (h History) suspectBefore(run oleandervalve.RunNumber) bool {
	earlier := 0
	for _, x := range h.Incidents {
		if x.Run >= run {
			continue
		}
		if earlier++; earlier > 1 || x.Young && x.Run > h.OutlivedBy {
			return true
		}
	}
	return false
}

// Isolation tells how a run was isolated.
type Isolation struct {
	// Duration is for how long no other run was to start on the executor, or zero if the run
	// was not isolated or has outlived its isolation.
	Duration time.Duration
	// Grouped means that the run was started together with others that were isolated.
	Grouped bool
}

// crashedGroup returns the runs of a group during whose isolation the executor was certainly lost,
// by their index in the report. Those that have outlived their own isolation are among them.
func (r Report) crashedGroup(isolation func(Run) Isolation) map[int]bool {
	var limit, oldest time.Duration
	for _, x := range r.Runs {
		if by := isolation(x); by.Grouped && by.Duration > 0 {
			limit = max(limit, by.Duration+maxNoticeTime)
		}
	}
	out := map[int]bool{}
	for i, x := range r.Runs {
		if isolation(x).Grouped && x.MaxAge <= limit {
			out[i] = true
			oldest = max(oldest, x.MaxAge)
		}
	}
	for _, x := range r.Runs {
		if !isolation(x).Grouped && x.MaxAge <= oldest+burstTime {
			return nil
		}
	}
	return out
}
