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

// ShardKind names what is divided into shards.
type ShardKind string

const (
	// TaskShards are the shards of tasks.
	TaskShards ShardKind = "tasks"
	// RenewalShards are the shards of worker leases.
	RenewalShards ShardKind = "workerLeases"
)

// ShardPrefix returns the key prefix of the leases of a kind of shards.
func ShardPrefix(k ShardKind) oleandervalve.Key {
	return oleandervalve.Key("shardLeases/" + string(k) + "/")
}

// ShardKey returns the row key of a shard's lease.
func ShardKey(k ShardKind, s oleandervalve.ShardID) oleandervalve.Key {
	return ShardPrefix(k) + oleandervalve.Key(fmt.Sprintf("%02d", s))
}

// ShardRow is the value of a shard's lease.
type ShardRow struct {
	Owner   oleandervalve.EntryID `json:"owner,omitempty"`
	Session string                `json:"session,omitempty"`
	// Token is the fencing token; it grows with every change of the owner.
	Token uint64 `json:"token"`
}

// Shards decides which shards of one kind an entry owns.
type Shards struct {
	kind    ShardKind
	count   int
	self    SessionRow
	session *Session
	entries map[oleandervalve.EntryID]entryRow
	shards  []shardLease
	writes  uint64
}

type entryRow struct {
	row   oleandervalve.Row
	value SessionRow
	live  bool
}

type shardLease struct {
	row    oleandervalve.Row
	value  ShardRow
	loaded bool
	// at is the table's time at which the row was known to be as it is here.
	at      time.Time
	pending oleandervalve.Transaction
}

// NewShards returns the shard leases of one kind for the entry of the session.
func NewShards(k ShardKind, count int, s *Session) *Shards {
	return &Shards{
		kind: k, count: count, self: s.value, session: s,
		entries: map[oleandervalve.EntryID]entryRow{}, shards: make([]shardLease, count),
	}
}

// Observe takes the scans of the entries' rows and of the shards' leases; the
// time of a scan of several pages is that of the first. The entries' scan must
// have begun after the leases' scan had ended, so that a row missing from it
// proves that the owner's session is over.
func (s *Shards) Observe(leases, entries oleandervalve.Page) {
	s.entries = map[oleandervalve.EntryID]entryRow{}
	for _, row := range entries.Rows {
		var v SessionRow
		if json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		live := entries.At.Sub(row.WrittenAt) < s.session.length
		s.entries[v.Entry] = entryRow{row: row, value: v, live: live}
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

func (s *Shards) observe(l *shardLease, row oleandervalve.Row, at time.Time) {
	// The table's time orders what was read. A row that is missing from a later
	// read has been deleted, for example by a restored backup, and its shard is
	// free; without this rule no entry would ever take the shard again.
	if l.loaded && (at.Before(l.at) || row.Version < l.row.Version && !at.After(l.at)) {
		return
	}
	v := ShardRow{}
	if row.Version > 0 && json.Unmarshal(row.Value, &v) != nil {
		return
	}
	l.row, l.value, l.loaded, l.at = row, v, true, at
}

// Held reports whether the entry owns a shard; call it again before each use.
func (s *Shards) Held(now time.Time, id oleandervalve.ShardID) bool {
	l := s.shards[id]
	// A session that lapsed and was renewed says nothing of the shards that
	// others took meanwhile: their rows must have been read since.
	// A shard that is being handed over is given up when the write is sent: its
	// answer may come long after another entry has taken the shard.
	return s.session.Valid(now) && l.pending.ID == "" && !l.at.Before(s.session.since) && l.loaded && l.value.Owner == s.self.Entry && l.value.Session == s.self.Session
}

// Fence returns the conditions that the entry still owns a shard, for
// transactions that no row's own version protects.
func (s *Shards) Fence(id oleandervalve.ShardID) []oleandervalve.Condition {
	l := s.shards[id]
	return []oleandervalve.Condition{{Key: l.row.Key, Version: l.row.Version}}
}

// Tick returns the transactions that take free shards and hand over those that
// another live entry should own. Shards are divided by rendezvous hashing over
// the live entries, so that few move when an entry comes or goes.
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
		mine, held := s.preferred(id) == s.self.Entry, s.Held(now, id)
		switch {
		case held && !mine:
			list = append(list, s.write(l, ShardRow{Token: l.value.Token + 1}))
		case !held && mine:
			free, c := s.free(l)
			if free {
				v := ShardRow{Owner: s.self.Entry, Session: s.self.Session, Token: l.value.Token + 1}
				list = append(list, s.write(l, v, c...))
			}
		}
	}
	return list
}

// Resolved takes the result of a transaction.
func (s *Shards) Resolved(id oleandervalve.MutationID, r table.Result) {
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

// free reports whether a shard may be taken and under which conditions on the
// row of its last owner.
func (s *Shards) free(l *shardLease) (bool, []oleandervalve.Condition) {
	if l.value.Owner == "" {
		return true, nil
	}
	e, ok := s.entries[l.value.Owner]
	switch {
	case !ok:
		return true, []oleandervalve.Condition{{Key: SessionKey(l.value.Owner)}}
	case e.value.Session != l.value.Session:
		// A new process took over the owner's row, which it may do only once the
		// old session has expired.
		return true, []oleandervalve.Condition{{Key: e.row.Key, Version: e.row.Version}}
	case e.live:
		return false, nil
	}
	return true, []oleandervalve.Condition{{Key: e.row.Key, Version: e.row.Version, UnwrittenFor: s.session.length}}
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

func (s *Shards) write(l *shardLease, v ShardRow, also ...oleandervalve.Condition) oleandervalve.Transaction {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // ShardRow holds only strings and numbers
	}
	s.writes++
	l.pending = oleandervalve.Transaction{
		ID:         oleandervalve.MutationID(fmt.Sprintf("%s-%s-%s-%d", s.self.Entry, s.self.Session, s.kind, s.writes)),
		Conditions: append([]oleandervalve.Condition{{Key: l.row.Key, Version: l.row.Version}}, also...),
		Puts:       []oleandervalve.Put{{Key: l.row.Key, Value: b}},
	}
	return l.pending
}
