package lease

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervalve"
	"oleandervalve/core/table"
)

// ShardKind names a set of data that is divided into shards.
type ShardKind string

const (
	// TaskShards are the shards of tasks.
	TaskShards ShardKind = "tasks"
	// WorkerLeaseShards are the shards of worker leases.
	WorkerLeaseShards ShardKind = "workerLeases"
)

// ShardPrefix returns the key prefix of the lease rows of one kind of shard.
func ShardPrefix(k ShardKind) oleandervalve.Key {
	return oleandervalve.Key("shardLeases/" + string(k) + "/")
}

// ShardKey returns the key of a shard's lease row.
func ShardKey(k ShardKind, s oleandervalve.ShardID) oleandervalve.Key {
	return ShardPrefix(k) + oleandervalve.Key(fmt.Sprintf("%02d", s))
}

// ShardRow is the value of a shard's lease row.
type ShardRow struct {
	Owner   oleandervalve.EntryID `json:"owner,omitempty"`
	Session string                `json:"session,omitempty"`
	// Token is the fencing token, which increases with each change of owner.
	Token uint64 `json:"token"`
}

// Shards acquires, tracks and releases an entry's leases on the shards of one
// kind.
type Shards struct {
	kind       ShardKind
	count      int
	self       SessionRow
	session    *Session
	entries    map[oleandervalve.EntryID]entrySession
	shards     []shardLease
	writeCount uint64
}

// entrySession is the session of an entry as read in the last scan.
type entrySession struct {
	row   oleandervalve.Row
	value SessionRow
	live  bool
}

// shardLease is the lease row of one shard as last read or written.
type shardLease struct {
	row    oleandervalve.Row
	value  ShardRow
	loaded bool
	// asOf is the table's time of the read or write that returned the row.
	asOf time.Time
	// pending is the write in flight; its ID is empty if there is none.
	pending oleandervalve.Transaction
}

// NewShards returns the shard leases of one kind for the session's entry; count
// is the number of shards.
func NewShards(k ShardKind, count int, s *Session) *Shards {
	return &Shards{
		kind: k, count: count, self: s.value, session: s,
		entries: map[oleandervalve.EntryID]entrySession{}, shards: make([]shardLease, count),
	}
}

// Observe records scans of the shard lease rows and of the session rows. The
// time of a scan with several pages is that of its first page. The scan of the
// sessions must start after the scan of the leases has ended, so that a session
// row missing from it proves that the owner's session has ended.
func (s *Shards) Observe(leases, entries oleandervalve.Page) {
	s.entries = map[oleandervalve.EntryID]entrySession{}
	for _, row := range entries.Rows {
		var v SessionRow
		if json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		live := entries.At.Sub(row.WrittenAt) < s.session.ttl
		s.entries[v.Entry] = entrySession{row: row, value: v, live: live}
	}
	seen := map[oleandervalve.Key]oleandervalve.Row{}
	for _, row := range leases.Rows {
		seen[row.Key] = row
	}
	for i := range s.shards {
		k := ShardKey(s.kind, oleandervalve.ShardID(i))
		row, ok := seen[k]
		if !ok {
			row = oleandervalve.Row{Key: k}
		}
		s.observe(&s.shards[i], row, leases.At)
	}
}

// observe records a shard's row as read or written at a time of the table's clock.
func (s *Shards) observe(l *shardLease, row oleandervalve.Row, at time.Time) {
	// Reads are ordered by the table's time rather than by row version. A row that
	// is missing from a later read was deleted, for example by restoring a backup,
	// and its shard is free. If a missing row counted as an older version, no entry
	// would ever acquire the shard again.
	if l.loaded && (at.Before(l.asOf) || row.Version < l.row.Version && !at.After(l.asOf)) {
		return
	}
	v := ShardRow{}
	if row.Version > 0 && json.Unmarshal(row.Value, &v) != nil {
		return
	}
	l.row, l.value, l.loaded, l.asOf = row, v, true, at
}

// Held reports whether the entry owns a shard at time now. Callers must check it
// again before each use.
func (s *Shards) Held(now time.Time, id oleandervalve.ShardID) bool {
	l := s.shards[id]
	// While a session was expired, other entries may have acquired its shards.
	// After a renewal, a shard is therefore held only once its row has been read
	// again.
	// A shard is no longer held once the write that releases it has been sent: the
	// response may arrive long after another entry has acquired the shard.
	return s.session.Valid(now) && l.pending.ID == "" && !l.asOf.Before(s.session.heldSince) && l.loaded && l.value.Owner == s.self.Entry && l.value.Session == s.self.Session
}

// Fence returns the conditions that the entry still owns a shard. Transactions
// that are not protected by the version of a row they write include them.
func (s *Shards) Fence(id oleandervalve.ShardID) []oleandervalve.Condition {
	l := s.shards[id]
	return []oleandervalve.Condition{{Key: l.row.Key, Version: l.row.Version}}
}

// Tick returns the transactions that acquire free shards and release those that
// another live entry should own. Shards are assigned by rendezvous hashing over
// the live entries, so that few change owner when an entry starts or stops.
func (s *Shards) Tick(now time.Time) []oleandervalve.Transaction {
	if !s.session.Valid(now) {
		return nil
	}
	var list []oleandervalve.Transaction
	for i := range s.shards {
		l := &s.shards[i]
		id := oleandervalve.ShardID(i)
		if !l.loaded || l.pending.ID != "" {
			continue
		}
		wanted, held := s.preferred(id) == s.self.Entry, s.Held(now, id)
		switch {
		case held && !wanted:
			list = append(list, s.beginWrite(l, ShardRow{Token: l.value.Token + 1}))
		case !held && wanted:
			free, c := s.canAcquire(l)
			if free {
				v := ShardRow{Owner: s.self.Entry, Session: s.self.Session, Token: l.value.Token + 1}
				list = append(list, s.beginWrite(l, v, c...))
			}
		}
	}
	return list
}

// HandleResult handles the result of a transaction.
func (s *Shards) HandleResult(id oleandervalve.MutationID, r table.Result) {
	for i := range s.shards {
		l := &s.shards[i]
		if l.pending.ID != id {
			continue
		}
		if r.Resolution == table.Applied {
			s.observe(l, oleandervalve.Row{
				Key: l.row.Key, Value: l.pending.Puts[0].Value,
				Version: r.Versions[0], MutationID: id, WrittenAt: r.At,
			}, r.At)
		}
		l.pending = oleandervalve.Transaction{}
		return
	}
}

// canAcquire reports whether a shard may be acquired, and returns the conditions
// on the session row of its last owner that the transaction must include.
func (s *Shards) canAcquire(l *shardLease) (bool, []oleandervalve.Condition) {
	if l.value.Owner == "" {
		return true, nil
	}
	e, ok := s.entries[l.value.Owner]
	switch {
	case !ok:
		return true, []oleandervalve.Condition{{Key: SessionKey(l.value.Owner)}}
	case e.value.Session != l.value.Session:
		// A new process has taken over the owner's session row, which is possible
		// only after the old session has expired.
		return true, []oleandervalve.Condition{{Key: e.row.Key, Version: e.row.Version}}
	case e.live:
		return false, nil
	}
	return true, []oleandervalve.Condition{{Key: e.row.Key, Version: e.row.Version, UnwrittenFor: s.session.ttl}}
}

// preferred returns the live entry that should own a shard.
func (s *Shards) preferred(id oleandervalve.ShardID) oleandervalve.EntryID {
	live := []oleandervalve.EntryID{s.self.Entry}
	for e, r := range s.entries {
		if r.live && e != s.self.Entry {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	best, score := live[0], uint64(0)
	for _, e := range live {
		if h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", e, s.kind, id)); h > score {
			best, score = e, h
		}
	}
	return best
}

// beginWrite returns the transaction that writes a shard's lease row and marks it
// as in flight.
func (s *Shards) beginWrite(l *shardLease, v ShardRow, extra ...oleandervalve.Condition) oleandervalve.Transaction {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // ShardRow holds only strings and numbers
	}
	s.writeCount++
	l.pending = oleandervalve.Transaction{
		ID:         oleandervalve.MutationID(fmt.Sprintf("%s-%s-%s-%d", s.self.Entry, s.self.Session, s.kind, s.writeCount)),
		Conditions: append([]oleandervalve.Condition{{Key: l.row.Key, Version: l.row.Version}}, extra...),
		Puts:       []oleandervalve.Put{{Key: l.row.Key, Value: b}},
	}
	return l.pending
}
