package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// RunCheckpoint is the latest checkpoint of a run.
type RunCheckpoint struct {
	Task       oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run        oleandervalve.RunNumber `cbor:"2,keyasint"`
	Checkpoint string                  `cbor:"3,keyasint"`
}

// checkpointCommitInterval is the minimum interval between two commits of a job that are
// made only because of checkpoints; executors write a checkpoint for each second of work.
const checkpointCommitInterval = 2 * time.Second

// RunsCheckpointed records the checkpoints of runs, so that a task whose executor fails
// resumes from the last one. Without recorded checkpoints, tasks would repeat seconds of
// work when many executors fail at once.
func (d *Dispatcher) RunsCheckpointed(now time.Time, id oleandervalve.AgentID, runs []RunCheckpoint) {
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
		if t == nil || !s.spec.Checkpointing || t.State != work.TaskAssigned || t.Run != r.Run || j.rec.Executors[t.ExecutorIndex].Agent != a.id {
			continue
		}
		t.Checkpoint = r.Checkpoint
		if now.Sub(j.checkpointsCommittedAt) >= checkpointCommitInterval {
			j.checkpointsCommittedAt = now
			d.markDirty(j)
		}
	}
}
