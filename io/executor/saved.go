package executor

import "oleandervalve/core/dispatch"

// noteSaved takes the checkpoint that the executor lists for a run; the lock is held.
func (s *session) noteSaved(k runKey, checkpoint string) {
	if checkpoint != "" && s.saved[k] != checkpoint {
		s.saved[k], s.unsent[k] = checkpoint, checkpoint
	}
}

// takeSaved returns the checkpoints that the leader does not know yet; the lock is held.
func (s *session) takeSaved() []dispatch.RunCheckpoint {
	out := make([]dispatch.RunCheckpoint, 0, len(s.unsent))
	for k, checkpoint := range s.unsent {
		out = append(out, dispatch.RunCheckpoint{Task: k.task, Run: k.run, Checkpoint: checkpoint})
	}
	clear(s.unsent)
	return out
}
