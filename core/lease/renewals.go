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
	// WorkerLeaseShardCount is the number of shards of worker leases; each has one row.
	WorkerLeaseShardCount = 16
	// RenewInterval is the minimum time between two writes of one row.
	RenewInterval = 10 * time.Second
	// expiredRetention is how long an expired worker remains in its row, where
	// operators can see it.
	expiredRetention = time.Hour
)

// WorkerLeaseShardOf returns the shard whose row holds the lease of a worker.
func WorkerLeaseShardOf(w oleandervalve.WorkerID) oleandervalve.ShardID {
	return oleandervalve.ShardID(xxhash.Sum64String(string(w)) % WorkerLeaseShardCount)
}

// WorkerLeaseKey returns the key of the row that holds a shard's worker leases.
func WorkerLeaseKey(s oleandervalve.ShardID) oleandervalve.Key {
	return oleandervalve.Key(fmt.Sprintf("workerLeases/%02d", s))
}

// WorkerLeaseRow is the value of a worker lease row.
type WorkerLeaseRow struct {
	Workers map[oleandervalve.WorkerID]Renewal `json:"workers"`
}

// Renewal is the last renewal of one worker.
type Renewal struct {
	// At is the table's time of the renewal. It is absent if the write of the
	// current row version made the renewal: its time is then the row's WrittenAt.
	At time.Time `json:"at,omitzero"`
}

// ParseWorkerLeases decodes a worker lease row. It sets absent renewal times to the
// row's write time.
func ParseWorkerLeases(row oleandervalve.Row) (WorkerLeaseRow, error) {
	v := WorkerLeaseRow{Workers: map[oleandervalve.WorkerID]Renewal{}}
	if row.Version == 0 {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return WorkerLeaseRow{}, &oleandervalve.InvalidError{
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

// TakeoverCondition returns the condition under which a transaction may take
// over the tasks of a worker: the table commits it only if the worker's lease
// and the guard have passed by the table's clock, and the row has not been
// written since it was read.
func TakeoverCondition(row oleandervalve.Row, w oleandervalve.WorkerID, ttl, guard time.Duration) (oleandervalve.Condition, error) {
	v, err := ParseWorkerLeases(row)
	if err != nil {
		return oleandervalve.Condition{}, err
	}
	c := oleandervalve.Condition{Key: row.Key, Version: row.Version}
	// A worker without a renewal in the row holds no lease, because an agent
	// extends its lease only after the renewal is committed.
	if r, ok := v.Workers[w]; ok {
		c.UnwrittenFor = max(0, r.At.Add(ttl+guard).Sub(row.WrittenAt))
	}
	return c, nil
}

// ExpiredWorkers returns the workers of a row whose lease and guard have passed
// at tableNow, a time of the table's clock, ordered by ID. The result only shows
// when to attempt a takeover; TakeoverCondition decides whether it commits.
func ExpiredWorkers(row oleandervalve.Row, tableNow time.Time, ttl, guard time.Duration) ([]oleandervalve.WorkerID, error) {
	v, err := ParseWorkerLeases(row)
	if err != nil {
		return nil, err
	}
	var list []oleandervalve.WorkerID
	for w, r := range v.Workers {
		if !tableNow.Before(r.At.Add(ttl + guard)) {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list, nil
}

// RenewalAck notifies an agent that the renewal requested by a heartbeat is
// committed.
type RenewalAck struct {
	Worker oleandervalve.WorkerID
	// SentAt is the time at which the agent sent the heartbeat, by its own clock.
	SentAt time.Time
}

// RenewalWriter collects renewal requests at the owner of one shard of worker
// leases and writes them to the shard's row in batches.
type RenewalWriter struct {
	key        oleandervalve.Key
	idPrefix   string
	writeCount uint64
	row        oleandervalve.Row
	loaded     bool
	// requested holds, by worker, the send time of the newest heartbeat whose renewal
	// is not written yet.
	requested map[oleandervalve.WorkerID]time.Time
	pending   *renewalWrite
	nextWrite time.Time
}

// renewalWrite is a write in flight and the requests that it includes.
type renewalWrite struct {
	transaction oleandervalve.Transaction
	requested   map[oleandervalve.WorkerID]time.Time
}

// NewRenewalWriter returns the writer of a shard. The prefix makes its mutation
// IDs unique among all processes and restarts.
func NewRenewalWriter(s oleandervalve.ShardID, prefix string) *RenewalWriter {
	return &RenewalWriter{key: WorkerLeaseKey(s), idPrefix: prefix, requested: map[oleandervalve.WorkerID]time.Time{}}
}

// Loaded reports whether the row has been observed. Tick returns no write until
// then.
func (r *RenewalWriter) Loaded() bool { return r.loaded }

// Row returns the newest known state of the row.
func (r *RenewalWriter) Row() oleandervalve.Row { return r.row }

// Observe records the row as read from the table.
func (r *RenewalWriter) Observe(row oleandervalve.Row) {
	if row.Key == r.key && (!r.loaded || row.Version > r.row.Version) {
		r.row, r.loaded = row, true
	}
}

// Heartbeat records an agent's request for renewal.
func (r *RenewalWriter) Heartbeat(w oleandervalve.WorkerID, sentAt time.Time) {
	if sentAt.After(r.requested[w]) {
		r.requested[w] = sentAt
	}
}

// Tick returns the next write of the row if renewals are waiting, no write is
// in flight and RenewInterval has passed.
func (r *RenewalWriter) Tick(now time.Time) (oleandervalve.Transaction, bool) {
	if !r.loaded || r.pending != nil || now.Before(r.nextWrite) || len(r.requested) == 0 {
		return oleandervalve.Transaction{}, false
	}
	old, err := ParseWorkerLeases(r.row)
	if err != nil {
		// Overwriting an unreadable row would discard leases that are held. The
		// owner reports such a row when it reads it.
		return oleandervalve.Transaction{}, false
	}
	v := WorkerLeaseRow{Workers: map[oleandervalve.WorkerID]Renewal{}}
	for w, last := range old.Workers {
		if r.row.WrittenAt.Sub(last.At) < WorkerTTL+Guard+expiredRetention {
			v.Workers[w] = last
		}
	}
	for w := range r.requested {
		v.Workers[w] = Renewal{}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return oleandervalve.Transaction{}, false
	}
	r.writeCount++
	t := oleandervalve.Transaction{
		ID:         oleandervalve.MutationID(fmt.Sprintf("%s-renewals-%d", r.idPrefix, r.writeCount)),
		Conditions: []oleandervalve.Condition{{Key: r.key, Version: r.row.Version}},
		Puts:       []oleandervalve.Put{{Key: r.key, Value: b}},
	}
	r.pending = &renewalWrite{transaction: t, requested: r.requested}
	r.requested = map[oleandervalve.WorkerID]time.Time{}
	r.nextWrite = now.Add(RenewInterval)
	return t, true
}

// HandleResult handles the result of a write and returns the renewals to
// acknowledge. If the write was not applied, its renewals go into the next one.
func (r *RenewalWriter) HandleResult(now time.Time, id oleandervalve.MutationID, result table.Result) []RenewalAck {
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
		list := make([]RenewalAck, 0, len(p.requested))
		for w, at := range p.requested {
			list = append(list, RenewalAck{Worker: w, SentAt: at})
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
		return list
	}
	for _, row := range result.Rows {
		r.Observe(row)
	}
	for w, at := range p.requested {
		r.Heartbeat(w, at)
	}
	// Another owner has written the row or the table has refused the write. The delay
	// prevents a tight loop in which both owners keep conflicting.
	r.nextWrite = now.Add(time.Second)
	return nil
}
