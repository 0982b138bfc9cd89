package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// SavedRun is the newest checkpoint of a run.
type SavedRun struct {
	Task       oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run        oleandervalve.RunNumber `cbor:"2,keyasint"`
	Checkpoint string                  `cbor:"3,keyasint"`
}

// storeSavedEvery is the shortest time between two commits of a job for its
// checkpoints alone; executors make one each second of work.
const storeSavedEvery = 2 * time.Second

// Saved takes the checkpoints of runs, so that a task whose executor is lost
// resumes from the last one. It answers the loss of many executors at once,
// after which the fleet would do seconds of work again.
func (d *Dispatcher) Saved(now time.Time, id oleandervalve.AgentID, runs []SavedRun) {
	a := d.agents[id]
	if a == nil {
		return
	}
	for _, r := range runs {
		j := d.jobs[r.Task.Job]
		if j == nil || j.rec.State.Terminal() {
			continue
		}
		s, t := j.task(r.Task)
		if t == nil || !s.spec.Checkpointing || t.State != work.TaskAssigned || t.Run != r.Run || j.rec.Places[t.Place].Agent != a.id {
			continue
		}
		t.Checkpoint = r.Checkpoint
		if now.Sub(j.savedAt) >= storeSavedEvery {
			j.savedAt = now
			d.touch(j)
		}
	}
}
