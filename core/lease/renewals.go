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

const (
	// WorkerShards is the number of rows that hold the renewals of all workers.
	WorkerShards = 16
	// RenewEvery is the interval between writes of one row.
	RenewEvery = 10 * time.Second
	// keepExpired is how long an expired worker stays in its row for operators to see.
	keepExpired = time.Hour
)

// WorkerShardOf returns the shard that holds the renewals of a worker.
func WorkerShardOf(w oleandervalve.WorkerID) oleandervalve.ShardID {
	return oleandervalve.ShardID(xxhash.Sum64String(string(w)) % WorkerShards)
}

// RenewalKey returns the row key of a shard of worker leases.
func RenewalKey(s oleandervalve.ShardID) oleandervalve.Key {
	return oleandervalve.Key(fmt.Sprintf("workerLeases/%02d", s))
}

// RenewalRow is the value of a row of worker leases.
type RenewalRow struct {
	Workers map[oleandervalve.WorkerID]Renewal `json:"workers"`
}

// Renewal is the last renewal of one worker.
type Renewal struct {
	// At is the table's time of the renewal. It is absent for a renewal by the
	// write that made the current version of the row: its time is the row's.
	At time.Time `json:"at,omitzero"`
}

// ParseRenewals decodes a row of worker leases and completes its times.
func ParseRenewals(row oleandervalve.Row) (RenewalRow, error) {
	v := RenewalRow{Workers: map[oleandervalve.WorkerID]Renewal{}}
	if row.Version == 0 {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return RenewalRow{}, &oleandervalve.InvalidError{
			Field: "row " + string(row.Key), Value: string(row.Value),
			Remedy: "restore the row from an object written by this version: " + err.Error(),
		}
	}
	for w, r := range v.Workers {
		if r.At.IsZero() {
			v.Workers[w] = Renewal{At: row.WrittenAt}
		}
	}
	return v, nil
}

// Expired returns the condition under which a transaction may take over from a
// worker: the table commits it only if the worker's lease and the guard have
// passed by the table's clock and no renewal has come since the row was read.
func Expired(row oleandervalve.Row, w oleandervalve.WorkerID, length, guard time.Duration) (oleandervalve.Condition, error) {
	v, err := ParseRenewals(row)
	if err != nil {
		return oleandervalve.Condition{}, err
	}
	c := oleandervalve.Condition{Key: row.Key, Version: row.Version}
	// A worker without a renewal in the row holds no lease, because an agent
	// counts a renewal only once it is committed.
	if r, ok := v.Workers[w]; ok {
		c.UnwrittenFor = max(0, r.At.Add(length+guard).Sub(row.WrittenAt))
	}
	return c, nil
}

// ExpiredBy lists the workers of a row whose lease and guard have passed at a
// time of the table's clock, in order. It tells when to try a takeover; the
// transaction's condition decides.
func ExpiredBy(row oleandervalve.Row, tableNow time.Time, length, guard time.Duration) ([]oleandervalve.WorkerID, error) {
	v, err := ParseRenewals(row)
	if err != nil {
		return nil, err
	}
	var list []oleandervalve.WorkerID
	for w, r := range v.Workers {
		if !tableNow.Before(r.At.Add(length + guard)) {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list, nil
}

// Renewed tells an agent that the renewal asked for by a heartbeat is committed.
type Renewed struct {
	Worker oleandervalve.WorkerID
	// SentAt is the agent's own time of the heartbeat, echoed.
	SentAt time.Time
}

// Renewals writes the row of one shard of worker leases at its owner.
type Renewals struct {
	key     oleandervalve.Key
	prefix  string
	writes  uint64
	row     oleandervalve.Row
	loaded  bool
	asked   map[oleandervalve.WorkerID]time.Time
	pending *renewalWrite
	next    time.Time
}

type renewalWrite struct {
	transaction oleandervalve.Transaction
	asked       map[oleandervalve.WorkerID]time.Time
}

// NewRenewals returns the writer of a shard; the prefix makes its mutation ids
// unique among all processes and restarts.
func NewRenewals(s oleandervalve.ShardID, prefix string) *Renewals {
	return &Renewals{key: RenewalKey(s), prefix: prefix, asked: map[oleandervalve.WorkerID]time.Time{}}
}

// Loaded reports whether the row has been observed; until then nothing is written.
func (r *Renewals) Loaded() bool { return r.loaded }

// Row returns the newest known state of the row.
func (r *Renewals) Row() oleandervalve.Row { return r.row }

// Observe takes the row as read from the table.
func (r *Renewals) Observe(row oleandervalve.Row) {
	if row.Key == r.key && (!r.loaded || row.Version > r.row.Version) {
		r.row, r.loaded = row, true
	}
}

// Heartbeat records that an agent asks for renewal.
func (r *Renewals) Heartbeat(w oleandervalve.WorkerID, sentAt time.Time) {
	if sentAt.After(r.asked[w]) {
		r.asked[w] = sentAt
	}
}

// Tick returns the next write of the row when it is due.
func (r *Renewals) Tick(now time.Time) (oleandervalve.Transaction, bool) {
	if !r.loaded || r.pending != nil || now.Before(r.next) || len(r.asked) == 0 {
		return oleandervalve.Transaction{}, false
	}
	old, err := ParseRenewals(r.row)
	if err != nil {
		// The owner reports an unreadable row when it observes it; overwriting it
		// would forget leases that are held.
		return oleandervalve.Transaction{}, false
	}
	v := RenewalRow{Workers: map[oleandervalve.WorkerID]Renewal{}}
	for w, last := range old.Workers {
		if r.row.WrittenAt.Sub(last.At) < WorkerLease+Guard+keepExpired {
			v.Workers[w] = last
		}
	}
	for w := range r.asked {
		v.Workers[w] = Renewal{}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return oleandervalve.Transaction{}, false
	}
	r.writes++
	t := oleandervalve.Transaction{
		ID:         oleandervalve.MutationID(fmt.Sprintf("%s-renewals-%d", r.prefix, r.writes)),
		Conditions: []oleandervalve.Condition{{Key: r.key, Version: r.row.Version}},
		Puts:       []oleandervalve.Put{{Key: r.key, Value: b}},
	}
	r.pending = &renewalWrite{transaction: t, asked: r.asked}
	r.asked = map[oleandervalve.WorkerID]time.Time{}
	r.next = now.Add(RenewEvery)
	return t, true
}

// Resolved takes the result of a write and returns the renewals to
// acknowledge. Those of a write that was not applied are tried again.
func (r *Renewals) Resolved(now time.Time, id oleandervalve.MutationID, result table.Result) []Renewed {
	p := r.pending
	if p == nil || p.transaction.ID != id {
		return nil
	}
	r.pending = nil
	if result.Resolution == table.Applied {
		r.Observe(oleandervalve.Row{
			Key: r.key, Value: p.transaction.Puts[0].Value, Version: result.Versions[0],
			MutationID: id, WrittenAt: result.At,
		})
		list := make([]Renewed, 0, len(p.asked))
		for w, at := range p.asked {
			list = append(list, Renewed{Worker: w, SentAt: at})
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
		return list
	}
	for _, row := range result.Rows {
		r.Observe(row)
	}
	for w, at := range p.asked {
		r.Heartbeat(w, at)
	}
	// Another owner wrote the row, or the table refused: try again soon, but not
	// in a tight loop against that owner.
	r.next = now.Add(time.Second)
	return nil
}
