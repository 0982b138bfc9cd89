package executor

import "oleandervalve/core/dispatch"

// recordCheckpoint records the checkpoint that the executor lists for a run. s.mu must
// be held.
func (s *session) recordCheckpoint(k runKey, checkpoint string) {
	if checkpoint != "" && s.checkpoints[k] != checkpoint {
		s.checkpoints[k], s.unsentCheckpoints[k] = checkpoint, checkpoint
	}
}

// takeUnsentCheckpoints returns the checkpoints that have not been sent to the leader
// and marks them as sent. s.mu must be held.
func (s *session) takeUnsentCheckpoints() []dispatch.RunCheckpoint {
	out := make([]dispatch.RunCheckpoint, 0, len(s.unsentCheckpoints))
	for k, checkpoint := range s.unsentCheckpoints {
		out = append(out, dispatch.RunCheckpoint{Task: k.task, Run: k.run, Checkpoint: checkpoint})
	}
	clear(s.unsentCheckpoints)
	return out
}
