package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

const (
	// SessionTTL is how long an entry owns its shards after the last renewal of
	// its session.
	SessionTTL = 15 * time.Second
	// SessionRenewInterval allows two retries before a session expires.
	SessionRenewInterval = 5 * time.Second
	// SessionPrefix is the key prefix of the entries' session rows.
	SessionPrefix oleandervalve.Key = "entries/"
)

// SessionKey returns the key of an entry's session row.
func SessionKey(e oleandervalve.EntryID) oleandervalve.Key {
	return SessionPrefix + oleandervalve.Key(e)
}

// SessionRow is the value of an entry's session row.
type SessionRow struct {
	Entry oleandervalve.EntryID `json:"entry"`
	// Session identifies one start of the process; a restart under the same
	// entry ID gets a new value.
	Session string `json:"session"`
	// Address is the address at which agents connect to the entry.
	Address string `json:"address"`
}

// Session is the lease of an entry, on which all of its shard leases depend.
type Session struct {
	value  SessionRow
	ttl    time.Duration
	row    oleandervalve.Row
	loaded bool
	// owned means that the row was last written by this session, which may have
	// expired.
	owned    bool
	deadline time.Time
	// heldSince is the table's time since which the session has been held without
	// expiring.
	heldSince  time.Time
	nextWrite  time.Time
	writeCount uint64
	// pending is the write in flight, sent at sentAt; empty if there is none.
	pending  oleandervalve.MutationID
	sentAt   time.Time
	released bool
}

// NewSession returns a session that is not held yet.
func NewSession(v SessionRow, ttl time.Duration) *Session {
	return &Session{value: v, ttl: ttl}
}

// Observe records the entry's row as read from the table. If the row is missing
// or belongs to another session, this session is no longer held.
func (s *Session) Observe(row oleandervalve.Row) {
	if row.Key != SessionKey(s.value.Entry) || (s.loaded && row.Version < s.row.Version) {
		return
	}
	s.row, s.loaded = row, true
	var v SessionRow
	if row.Version == 0 || json.Unmarshal(row.Value, &v) != nil || v.Session != s.value.Session {
		s.owned, s.deadline = false, time.Time{}
	}
}

// Valid reports whether the session is held at time now. Callers must check it
// again before each use.
func (s *Session) Valid(now time.Time) bool { return s.owned && now.Before(s.deadline) }

// Fence returns the condition that the entry's row is unchanged since this
// session last wrote or read it. It is meant for transactions of other components
// that only the holder of the session may make; none uses it at present.
func (s *Session) Fence() oleandervalve.Condition {
	return oleandervalve.Condition{Key: s.row.Key, Version: s.row.Version}
}

// Tick returns the transaction that acquires or renews the session if it is
// time for one and no write is in flight.
func (s *Session) Tick(now time.Time) (oleandervalve.Transaction, bool) {
	if !s.loaded || s.pending != "" || s.released || now.Before(s.nextWrite) {
		return oleandervalve.Transaction{}, false
	}
	b, err := json.Marshal(s.value)
	if err != nil {
		return oleandervalve.Transaction{}, false
	}
	c := s.condition()
	if !s.owned && s.row.Version > 0 {
		// The row of an earlier process under this entry ID must have expired first:
		// that process may be paused rather than terminated.
		c.UnwrittenFor = s.ttl
	}
	t := s.transaction(now, c)
	t.Puts = []oleandervalve.Put{{Key: s.row.Key, Value: b}}
	return t, true
}

// Release returns the transaction that ends the session at a planned stop, so
// that other entries can take its shards at once. The session is invalid from
// then on.
func (s *Session) Release(now time.Time) (oleandervalve.Transaction, bool) {
	s.released, s.deadline = true, time.Time{}
	if !s.owned {
		return oleandervalve.Transaction{}, false
	}
	t := s.transaction(now, s.condition())
	t.Deletes = []oleandervalve.Key{s.row.Key}
	return t, true
}

// HandleResult handles the result of a write.
func (s *Session) HandleResult(now time.Time, id oleandervalve.MutationID, r table.Result) {
	if id != s.pending || s.released {
		return
	}
	s.pending = ""
	switch r.Resolution {
	case table.Applied:
		if !s.Valid(now) {
			s.heldSince = r.At
		}
		s.row.Version, s.row.MutationID, s.row.WrittenAt = r.Versions[0], id, r.At
		// The deadline counts from before the write was sent, so it passes before the
		// table allows another entry to take over.
		s.owned, s.deadline = true, s.sentAt.Add(s.ttl)
	default:
		for _, row := range r.Rows {
			s.Observe(row)
		}
		s.nextWrite = now.Add(time.Second)
	}
}

// condition returns the condition of the session's own writes of the entry's row,
// which is the same as that of Fence.
func (s *Session) condition() oleandervalve.Condition {
	return oleandervalve.Condition{Key: s.row.Key, Version: s.row.Version}
}

// transaction returns a new write under condition c and marks it as in flight.
func (s *Session) transaction(now time.Time, c oleandervalve.Condition) oleandervalve.Transaction {
	s.writeCount++
	s.pending = oleandervalve.MutationID(fmt.Sprintf("%s-%s-session-%d", s.value.Entry, s.value.Session, s.writeCount))
	s.sentAt, s.nextWrite = now, now.Add(SessionRenewInterval)
	return oleandervalve.Transaction{ID: s.pending, Conditions: []oleandervalve.Condition{c}}
}
