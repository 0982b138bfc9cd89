package executor

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// Guards against checkpoints that the leader never hears of, and against ones
// that are sent again with each sign of life.
func TestCheckpointsAreSentOnce(t *testing.T) {
	is := is.New(t)
	s := &session{saved: map[runKey]string{}, unsent: map[runKey]string{}}
	k := runKey{oleandervalve.TaskName{Job: "a"}, 2}
	s.noteSaved(k, "")
	is.Equal(len(s.takeSaved()), 0)
	s.noteSaved(k, "c1")
	s.noteSaved(k, "c2")
	is.Equal(s.takeSaved(), []dispatch.RunCheckpoint{{Task: k.task, Run: 2, Checkpoint: "c2"}})
	s.noteSaved(k, "c2")
	is.Equal(len(s.takeSaved()), 0)
}
