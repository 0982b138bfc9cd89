package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

const (
	// SessionLease is how long an entry owns its shards after its last renewal.
	SessionLease = 15 * time.Second
	// SessionRenewEvery leaves two further tries before a session expires.
	SessionRenewEvery = 5 * time.Second
	// SessionPrefix is the key prefix of the entries' own rows.
	SessionPrefix oleandervalve.Key = "entries/"
)

// SessionKey returns the row key of an entry.
func SessionKey(e oleandervalve.EntryID) oleandervalve.Key {
	return SessionPrefix + oleandervalve.Key(e)
}

// SessionRow is the value of an entry's own row.
type SessionRow struct {
	Entry oleandervalve.EntryID `json:"entry"`
	// Session differs for each start of a process, also under the same id.
	Session string `json:"session"`
	// Address is where agents connect to the entry.
	Address string `json:"address"`
}

// Session is the lease of an entry that all of its shard leases depend on.
type Session struct {
	value    SessionRow
	length   time.Duration
	row      oleandervalve.Row
	loaded   bool
	own      bool
	deadline time.Time
	// since is the table's time from which the session has been held without a lapse.
	since   time.Time
	next    time.Time
	writes  uint64
	pending oleandervalve.MutationID
	sentAt  time.Time
	leaving bool
}

// NewSession returns a session that is not held yet.
func NewSession(v SessionRow, length time.Duration) *Session {
	return &Session{value: v, length: length}
}

// Observe takes the entry's row as read from the table.
func (s *Session) Observe(row oleandervalve.Row) {
	if row.Key != SessionKey(s.value.Entry) || (s.loaded && row.Version < s.row.Version) {
		return
	}
	s.row, s.loaded = row, true
	var v SessionRow
	if row.Version == 0 || json.Unmarshal(row.Value, &v) != nil || v.Session != s.value.Session {
		s.own, s.deadline = false, time.Time{}
	}
}

// Valid reports whether the session is held; call it again before each use.
func (s *Session) Valid(now time.Time) bool { return s.own && now.Before(s.deadline) }

// Fence returns the condition that the entry's row is as last written by this
// session, for transactions that only the owner may make.
func (s *Session) Fence() oleandervalve.Condition {
	return oleandervalve.Condition{Key: s.row.Key, Version: s.row.Version}
}

// Tick returns the next write of the entry's row when it is due.
func (s *Session) Tick(now time.Time) (oleandervalve.Transaction, bool) {
	if !s.loaded || s.pending != "" || s.leaving || now.Before(s.next) {
		return oleandervalve.Transaction{}, false
	}
	b, err := json.Marshal(s.value)
	if err != nil {
		return oleandervalve.Transaction{}, false
	}
	c := s.condition()
	if !s.own && s.row.Version > 0 {
		// The row of an earlier process under this id must have expired first: that
		// process may be paused rather than gone.
		c.UnwrittenFor = s.length
	}
	t := s.transaction(now, c)
	t.Puts = []oleandervalve.Put{{Key: s.row.Key, Value: b}}
	return t, true
}

// Leave returns the transaction that ends the session at a planned stop, so
// that others take its shards at once. The session is invalid from then on.
func (s *Session) Leave(now time.Time) (oleandervalve.Transaction, bool) {
	s.leaving, s.deadline = true, time.Time{}
	if !s.own {
		return oleandervalve.Transaction{}, false
	}
	t := s.transaction(now, s.condition())
	t.Deletes = []oleandervalve.Key{s.row.Key}
	return t, true
}

// Resolved takes the result of a write.
func (s *Session) Resolved(now time.Time, id oleandervalve.MutationID, r table.Result) {
	if id != s.pending || s.leaving {
		return
	}
	s.pending = ""
	switch r.Resolution {
	case table.Applied:
		if !s.Valid(now) {
			s.since = r.At
		}
		s.row.Version, s.row.MutationID, s.row.WrittenAt = r.Versions[0], id, r.At
		// Counted from before the write was sent, so that it ends before the table
		// lets another entry take over.
		s.own, s.deadline = true, s.sentAt.Add(s.length)
	default:
		for _, row := range r.Rows {
			s.Observe(row)
		}
		s.next = now.Add(time.Second)
	}
}

func (s *Session) condition() oleandervalve.Condition {
	return oleandervalve.Condition{Key: s.row.Key, Version: s.row.Version}
}

func (s *Session) transaction(now time.Time, c oleandervalve.Condition) oleandervalve.Transaction {
	s.writes++
	s.pending = oleandervalve.MutationID(fmt.Sprintf("%s-%s-session-%d", s.value.Entry, s.value.Session, s.writes))
	s.sentAt, s.next = now, now.Add(SessionRenewEvery)
	return oleandervalve.Transaction{ID: s.pending, Conditions: []oleandervalve.Condition{c}}
}
