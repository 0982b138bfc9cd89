package callerkey

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// transferTimeout is how long a transfer may take before its commit is sent; the
// ranges admit no new keys meanwhile.
const transferTimeout = 10 * time.Second

// TransferStep is what an agent does next for a planned transfer.
type TransferStep struct {
	// Send holds the parts to send to the successor.
	Send []Export
	// Commit is the transaction to commit; its result is read from the map.
	Commit *oleandervalve.Transaction
	// Ended means that the transfer took effect or was aborted.
	Ended bool
}

// AdvanceTransfer returns the next step of a planned transfer that BeginTransfer
// started. Call it after each ExportAck, after each new map, and every second. The map
// must be the newest that was passed to ApplyMap.
func (s *RecordStore) AdvanceTransfer(now time.Time, id uint64, m keyrange.Map, mutation oleandervalve.MutationID) TransferStep {
	t := s.outgoing[id]
	if t == nil {
		return TransferStep{Ended: true}
	}
	if t.refused != "" || now.Sub(t.started) > transferTimeout {
		if e, ok := s.AbortTransfer(id); ok {
			return TransferStep{Send: []Export{e}, Ended: true}
		}
	}
	if !t.complete {
		return TransferStep{Send: s.PartsToSend(id)}
	}
	// The commit that was already sent is in doubt until a newer map is known; only
	// then can it be retried.
	if t.commitBase >= m.Version() {
		return TransferStep{}
	}
	x, err := s.CommitTransfer(id, m, mutation)
	if err != nil {
		return TransferStep{}
	}
	return TransferStep{Commit: &x}
}
