package fencing

import "oleandervalve"

// Tokens holds the fencing tokens of an agent's sessions. The zero value has none.
type Tokens struct {
	admitted, ordering oleandervalve.FencingToken
}

// Admitted records the token of a session that a leader has admitted.
func (t *Tokens) Admitted(token oleandervalve.FencingToken) { t.admitted = max(t.admitted, token) }

// Ordering records the token of a session that may send start orders from now on.
func (t *Tokens) Ordering(token oleandervalve.FencingToken) { t.ordering = max(t.ordering, token) }

// Newest returns the highest token of all sessions.
func (t *Tokens) Newest() oleandervalve.FencingToken { return t.admitted }

// Fence returns a token that is newer than those of all start orders so far and not newer than that
// of the next session, or 0 if no session has been admitted. Leaders number sessions upwards, so the
// successor of a token is free until the next session has it.
func (t *Tokens) Fence() oleandervalve.FencingToken {
	if t.admitted == 0 {
		return 0
	}
	return max(t.admitted, t.ordering+1)
}
