package executor

import (
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// recordCheckpoint records the checkpoint that the executor lists for a run. s.mu must
// be held.
func (s *session) recordCheckpoint(k runKey, checkpoint string) {
	if checkpoint != "" && s.checkpoints[k] != checkpoint {
		s.checkpoints[k], s.unsentCheckpoints[k] = checkpoint, checkpoint
	}
}

// runBytes is the largest encoded size of a checkpoint without its texts.
const runBytes = 60

// maxCheckpointBytes limits the checkpoints in one message. The others go with the next one.
const maxCheckpointBytes = peer.MaxFrame / 4

// takeUnsentCheckpoints returns checkpoints that have not been sent to the leader, as far as
// they fit into a message, and marks them as sent. s.mu must be held.
func (s *session) takeUnsentCheckpoints() []dispatch.RunCheckpoint {
	out := make([]dispatch.RunCheckpoint, 0, len(s.unsentCheckpoints))
	size := 0
	for k, checkpoint := range s.unsentCheckpoints {
		size += runBytes + len(k.task.Job) + len(checkpoint)
		if size > maxCheckpointBytes && len(out) > 0 {
			break
		}
		delete(s.unsentCheckpoints, k)
		out = append(out, dispatch.RunCheckpoint{Task: k.task, Run: k.run, Checkpoint: checkpoint})
	}
	return out
}
