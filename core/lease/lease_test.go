package lease

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/table"
)

var start = time.Unix(1_000_000, 0)

// memoryTable is an in-memory table with a clock that the test advances.
type memoryTable struct {
	rows map[oleandervalve.Key]oleandervalve.Row
	now  time.Time
}

func (m *memoryTable) commit(t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	for _, c := range t.Conditions {
		if r := m.rows[c.Key]; r.Version != c.Version || c.UnwrittenFor > 0 && m.now.Sub(r.WrittenAt) < c.UnwrittenFor {
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	out := oleandervalve.Committed{At: m.now}
	for _, p := range t.Puts {
		v := m.rows[p.Key].Version + 1
		m.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: v, MutationID: t.ID, WrittenAt: m.now}
		out.Versions = append(out.Versions, v)
	}
	for _, k := range t.Deletes {
		delete(m.rows, k)
	}
	return out, nil
}

// resolve commits a transaction, discards the response if lose is set, and
// returns the result.
func (m *memoryTable) resolve(t oleandervalve.Transaction, lose bool) table.Result {
	c, err := m.commit(t)
	if err == nil && !lose {
		return table.Result{Resolution: table.Applied, Versions: c.Versions, At: c.At}
	}
	var rows []oleandervalve.Row
	for _, c := range t.Conditions {
		r := m.rows[c.Key]
		r.Key = c.Key
		rows = append(rows, r)
	}
	return table.Resolve(t, rows)
}

func (m *memoryTable) scan(prefix oleandervalve.Key) oleandervalve.Page {
	p := oleandervalve.Page{At: m.now}
	for k, r := range m.rows {
		if strings.HasPrefix(string(k), string(prefix)) {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	return p
}

// holder is an implementation of the lease of shard 0.
type holder interface {
	// tick acquires or renews the lease. Calling the returned function delivers
	// the responses to the holder.
	tick(m *memoryTable, now time.Time, lose bool) (answers func(now time.Time))
	holds(now time.Time) bool
	// guardedWrite returns a write whose conditions require the current lease.
	guardedWrite(id string) oleandervalve.Transaction
}

// tableLease is the lease that this package implements.
type tableLease struct {
	session *Session
	shards  *Shards
}

func (h *tableLease) tick(m *memoryTable, now time.Time, lose bool) func(time.Time) {
	if !h.session.loaded {
		h.session.Observe(oleandervalve.Row{Key: SessionKey(h.session.value.Entry)})
	}
	h.shards.Observe(m.scan(ShardPrefix(TaskShards)), m.scan(SessionPrefix))
	var answers []func(time.Time)
	if t, ok := h.session.Tick(now); ok {
		r := m.resolve(t, lose)
		answers = append(answers, func(at time.Time) { h.session.HandleResult(at, t.ID, r) })
	}
	for _, t := range h.shards.Tick(now) {
		r := m.resolve(t, lose)
		answers = append(answers, func(time.Time) { h.shards.HandleResult(t.ID, r) })
	}
	return func(at time.Time) {
		for _, f := range answers {
			f(at)
		}
	}
}

func (h *tableLease) holds(now time.Time) bool { return h.shards.Held(now, 0) }

func (h *tableLease) guardedWrite(id string) oleandervalve.Transaction {
	return oleandervalve.Transaction{ID: oleandervalve.MutationID(id), Conditions: h.shards.Fence(0)}
}

// clockLease is the baseline for comparison: a lease that relies on the clocks
// of the entries and is written without a condition.
type clockLease struct {
	name  string
	skew  time.Duration
	until time.Time
}

type clockLeaseRow struct {
	Owner string    `json:"owner"`
	Until time.Time `json:"until"`
}

func (h *clockLease) tick(m *memoryTable, now time.Time, _ bool) func(time.Time) {
	local := now.Add(h.skew)
	var v clockLeaseRow
	_ = json.Unmarshal(m.rows[ShardKey(TaskShards, 0)].Value, &v)
	if v.Owner != h.name && local.Before(v.Until) {
		h.until = time.Time{}
		return func(time.Time) {}
	}
	v = clockLeaseRow{h.name, local.Add(SessionTTL)}
	b, _ := json.Marshal(v)
	_, _ = m.commit(oleandervalve.Transaction{Puts: []oleandervalve.Put{{Key: ShardKey(TaskShards, 0), Value: b}}})
	return func(time.Time) { h.until = v.Until }
}

func (h *clockLease) holds(now time.Time) bool { return now.Add(h.skew).Before(h.until) }

func (h *clockLease) guardedWrite(id string) oleandervalve.Transaction {
	return oleandervalve.Transaction{}
}

// doubleHolders simulates three hours in which three entries with pauses and
// lost responses compete for a lease. It counts the seconds with two holders,
// the writes accepted from an entry that no longer owned the lease, and all
// accepted writes.
func doubleHolders(seed uint64, newHolder func(i int) holder) (doubleSeconds, staleWrites, writes int) {
	r := rand.New(rand.NewPCG(seed, 0))
	m := &memoryTable{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	type entry struct {
		h        holder
		paused   int
		onResume []func(time.Time)
	}
	var list []*entry
	for i := range 3 {
		list = append(list, &entry{h: newHolder(i)})
	}
	owner := func() string {
		var v struct{ Owner string }
		_ = json.Unmarshal(m.rows[ShardKey(TaskShards, 0)].Value, &v)
		return v.Owner
	}
	for s := range 10_800 {
		m.now = m.now.Add(time.Second)
		holding := 0
		for i, e := range list {
			name := fmt.Sprint("e", i)
			if e.paused > 0 {
				e.paused--
			} else {
				for _, f := range e.onResume {
					f(m.now)
				}
				e.onResume = nil
				answers := e.h.tick(m, m.now, r.IntN(10) == 0)
				paused := r.IntN(60) == 0 // between the write and its answer
				if paused {
					e.onResume = append(e.onResume, answers)
				} else {
					answers(m.now)
				}
				if !paused && e.h.holds(m.now) {
					t := e.h.guardedWrite(fmt.Sprint(name, "-", s))
					write := func(time.Time) {
						if _, err := m.commit(t); err == nil {
							writes++
							if owner() != name {
								staleWrites++
							}
						}
					}
					if r.IntN(60) == 0 { // between the check and the guarded write
						e.onResume = append(e.onResume, write)
						paused = true
					} else {
						write(m.now)
					}
				}
				if paused {
					e.paused = 1 + r.IntN(40)
				}
			}
			if e.h.holds(m.now) {
				holding++
			}
		}
		if holding > 1 {
			doubleSeconds++
		}
	}
	return doubleSeconds, staleWrites, writes
}

// Guards against two entries that own a shard at once because one was paused or
// its clock differs. The lease with compare-and-set, fencing and expiry by the
// table's clock is compared with a lease that relies on the entries' clocks.
func TestDoubleHolders(t *testing.T) {
	is := is.New(t)
	var doubleSeconds, staleWrites, writes, clockSeconds, clockStaleWrites int
	for seed := range uint64(5) {
		n, m, k := doubleHolders(seed, func(i int) holder {
			s := NewSession(SessionRow{Entry: oleandervalve.EntryID(fmt.Sprint("e", i)), Session: "s"}, SessionTTL)
			return &tableLease{s, NewShards(TaskShards, 1, s)}
		})
		doubleSeconds, staleWrites, writes = doubleSeconds+n, staleWrites+m, writes+k
		n, m, _ = doubleHolders(seed, func(i int) holder {
			return &clockLease{name: fmt.Sprint("e", i), skew: time.Duration(i-1) * 2 * time.Second}
		})
		clockSeconds, clockStaleWrites = clockSeconds+n, clockStaleWrites+m
	}
	t.Logf("5 seeds of 10800 s: table lease: %d seconds with two holders, %d stale writes of %d; clock lease: %d seconds, %d stale writes",
		doubleSeconds, staleWrites, writes, clockSeconds, clockStaleWrites)
	is.Equal(doubleSeconds+staleWrites, 0)
	is.True(writes > 20_000) // the lease is held most of the time
	is.True(clockSeconds > 0 && clockStaleWrites > 0)
}

// Guards against shards that no entry acquires after their owner has failed, or
// that are acquired later than one session TTL and two scans after the failure.
func TestShardsReassignedAfterOwnerFailure(t *testing.T) {
	is := is.New(t)
	m := &memoryTable{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	var list []*tableLease
	for i := range 3 {
		s := NewSession(SessionRow{Entry: oleandervalve.EntryID(fmt.Sprint("e", i)), Session: "s"}, SessionTTL)
		list = append(list, &tableLease{s, NewShards(TaskShards, 16, s)})
	}
	step := func() (held int) {
		m.now = m.now.Add(time.Second)
		for _, h := range list {
			h.tick(m, m.now, false)(m.now)
		}
		for _, h := range list {
			for i := range 16 {
				if h.shards.Held(m.now, oleandervalve.ShardID(i)) {
					held++
				}
			}
		}
		return held
	}
	for range 5 {
		step()
	}
	is.Equal(step(), 16)
	// Deleted lease rows, as after restoring a backup, leave no shard without an
	// owner.
	for k := range m.rows {
		if strings.HasPrefix(string(k), string(ShardPrefix(TaskShards))) {
			delete(m.rows, k)
		}
	}
	step()
	step()
	is.Equal(step(), 16)
	list = list[1:]
	failedAt := m.now
	for step() < 16 && m.now.Sub(failedAt) < time.Minute {
	}
	t.Logf("16 shards owned again after %s", m.now.Sub(failedAt))
	is.True(m.now.Sub(failedAt) <= SessionTTL+2*time.Second)
	// After a planned stop, the shards are reassigned without waiting for the
	// session to expire.
	release, ok := list[0].session.Release(m.now)
	is.True(ok)
	m.resolve(release, false)
	list = list[1:]
	step()
	is.Equal(step(), 16)
}

// Guards against an agent that acts after a pause longer than its lease, or that
// misses the expiry because a late renewal arrives first.
func TestWorkerLeaseExpires(t *testing.T) {
	is := is.New(t)
	w := NewWorker(WorkerTTL)
	is.True(!w.Valid(start))
	w.Renew(start.Add(20*time.Second), start) // the response took 20 s
	is.Equal(w.Deadline(), start.Add(WorkerTTL))
	is.True(w.Valid(start.Add(WorkerTTL - 1)))
	is.True(!w.Valid(start.Add(WorkerTTL)))
	is.Equal(w.Term(start), uint64(1))
	w.Renew(start.Add(12*time.Minute), start.Add(10*time.Minute))
	is.True(w.Valid(start.Add(12 * time.Minute)))
	w.Renew(start.Add(22*time.Minute), start.Add(21*time.Minute)) // the lease expired at 21 min
	is.True(w.Valid(start.Add(22 * time.Minute)))
	is.Equal(w.Term(start.Add(22*time.Minute)), uint64(2))
	w.Renew(start.Add(50*time.Minute), start.Add(30*time.Minute)) // the renewal had expired on arrival
	is.True(!w.Valid(start.Add(50 * time.Minute)))
	s := NewFailureDetector(SuspectAfter)
	is.True(s.IsSuspect(start, "w"))
	s.HeartbeatReceived(start, "w")
	is.True(!s.IsSuspect(start.Add(SuspectAfter-1), "w"))
	is.True(s.IsSuspect(start.Add(SuspectAfter), "w"))
}

// Guards against a takeover that the table commits before a worker's lease and
// the guard have passed, although other workers of the row are renewed, and
// against renewals acknowledged without being committed.
func TestRenewalsAndExpiry(t *testing.T) {
	is := is.New(t)
	m := &memoryTable{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	key := RenewalKey(0)
	owners := []*RenewalWriter{NewRenewalWriter(0, "a"), NewRenewalWriter(0, "b")}
	writes, acks := 0, map[oleandervalve.WorkerID]time.Time{}
	detector, proposedAt := NewExpiryDetector(WorkerTTL, Guard), time.Time{}
	takeover := func(w oleandervalve.WorkerID) bool {
		c, err := TakeoverCondition(m.rows[key], w, WorkerTTL, Guard)
		is.NoErr(err)
		_, err = m.commit(oleandervalve.Transaction{Conditions: []oleandervalve.Condition{c}})
		return err == nil
	}
	lastW1Heartbeat := start.Add(15 * time.Second)
	takenOverAt := time.Time{}
	for m.now.Sub(start) < 13*time.Minute {
		m.now = m.now.Add(time.Second)
		for i, o := range owners { // two owners at once
			if !o.Loaded() || i == 1 && m.now.Unix()%7 == 0 {
				r := m.rows[key]
				r.Key = key
				o.Observe(r)
			}
			o.Heartbeat("w2", m.now)
			if !m.now.After(lastW1Heartbeat) {
				o.Heartbeat("w1", m.now)
			}
			if tx, ok := o.Tick(m.now); ok {
				writes++
				for _, a := range o.HandleResult(m.now, tx.ID, m.resolve(tx, m.now.Unix()%3 == 0)) {
					acks[a.Worker] = a.SentAt
				}
			}
		}
		is.True(!takeover("w2"))
		if detector.StartRead(m.now) {
			detector.Observe(m.now, m.scan("workerLeases/"))
		}
		expired, err := detector.Expired(m.now)
		is.NoErr(err)
		if len(expired) > 0 && proposedAt.IsZero() {
			is.Equal(expired[0].Worker, oleandervalve.WorkerID("w1"))
			proposedAt = m.now
		}
		if takenOverAt.IsZero() && takeover("w1") {
			takenOverAt = m.now
		}
	}
	renewedAt := acks["w1"]
	t.Logf("%d writes in 13 min by two owners; w1 renewed at %s, taken over at %s", writes, renewedAt.Sub(start), takenOverAt.Sub(start))
	is.True(!takenOverAt.Before(renewedAt.Add(WorkerTTL + Guard)))
	is.True(!proposedAt.Before(takenOverAt) && proposedAt.Sub(takenOverAt) <= expiryReadInterval) // tried in time, not too early
	is.True(takenOverAt.Sub(renewedAt) <= WorkerTTL+Guard+2*RenewInterval)
	list, err := ExpiredWorkers(m.rows[key], m.now, WorkerTTL, Guard)
	is.NoErr(err)
	is.Equal(list, []oleandervalve.WorkerID{"w1"})
}
