package callerkey

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

// moveTimeout is how long a move may take before its commit is sent; the
// ranges admit no fresh keys meanwhile.
const moveTimeout = 10 * time.Second

// MoveStep is what an agent does next for a planned move.
type MoveStep struct {
	// Send holds the parts to send to the successor.
	Send []Export
	// Commit is the transaction to commit; its result is read from the map.
	Commit *oleandervalve.Transaction
	// Ended means that the move took effect or was withdrawn.
	Ended bool
}

// MoveNext drives a planned move that HandOver began; call it after each Import,
// after each new map, and every second. The map is the newest that ApplyMap got.
func (h *Home) MoveNext(now time.Time, id uint64, m keyrange.Map, mutation oleandervalve.MutationID) MoveStep {
	t := h.outgoing[id]
	if t == nil {
		return MoveStep{Ended: true}
	}
	if t.refused != "" || now.Sub(t.started) > moveTimeout {
		if e, ok := h.Abort(id); ok {
			return MoveStep{Send: []Export{e}, Ended: true}
		}
	}
	if !t.complete {
		return MoveStep{Send: h.Outgoing(id)}
	}
	// The transaction on an older map is still open; only one on a newer map can be another try.
	if t.base >= m.Version() {
		return MoveStep{}
	}
	x, err := h.Commit(id, m, mutation)
	if err != nil {
		return MoveStep{}
	}
	return MoveStep{Commit: &x}
}
