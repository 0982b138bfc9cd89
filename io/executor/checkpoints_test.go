package executor

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// Guards against checkpoints that are never sent to the leader, and against ones
// that are sent again with every ping.
func TestCheckpointsAreSentOnce(t *testing.T) {
	is := is.New(t)
	s := &session{checkpoints: map[runKey]string{}, unsentCheckpoints: map[runKey]string{}}
	k := runKey{oleandervalve.TaskName{Job: "a"}, 2}
	s.recordCheckpoint(k, "")
	is.Equal(len(s.takeUnsentCheckpoints()), 0)
	s.recordCheckpoint(k, "c1")
	s.recordCheckpoint(k, "c2")
	is.Equal(s.takeUnsentCheckpoints(), []dispatch.RunCheckpoint{{Task: k.task, Run: 2, Checkpoint: "c2"}})
	s.recordCheckpoint(k, "c2")
	is.Equal(len(s.takeUnsentCheckpoints()), 0)
}
