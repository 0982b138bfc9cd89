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

// memory is a table in memory whose clock is the test's.
type memory struct {
	rows map[oleandervalve.Key]oleandervalve.Row
	now  time.Time
}

func (m *memory) commit(t oleandervalve.Transaction) (oleandervalve.Committed, error) {
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

// resolve commits a transaction, loses the answer if told to, and returns the result.
func (m *memory) resolve(t oleandervalve.Transaction, lose bool) table.Result {
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

func (m *memory) scan(prefix oleandervalve.Key) oleandervalve.Page {
	p := oleandervalve.Page{At: m.now}
	for k, r := range m.rows {
		if strings.HasPrefix(string(k), string(prefix)) {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	return p
}

// holder is one way to hold the lease of shard 0.
type holder interface {
	// tick renews or takes the lease; the answers arrive when the result is called.
	tick(m *memory, now time.Time, lose bool) (answers func(now time.Time))
	holds(now time.Time) bool
	// act returns a guarded write decided on now.
	act(id string) oleandervalve.Transaction
}

// stored is the lease of this package.
type stored struct {
	session *Session
	shards  *Shards
}

func (h *stored) tick(m *memory, now time.Time, lose bool) func(time.Time) {
	if !h.session.loaded {
		h.session.Observe(oleandervalve.Row{Key: SessionKey(h.session.value.Entry)})
	}
	h.shards.Observe(m.scan(ShardPrefix(TaskShards)), m.scan(SessionPrefix))
	var answers []func(time.Time)
	if t, ok := h.session.Tick(now); ok {
		r := m.resolve(t, lose)
		answers = append(answers, func(at time.Time) { h.session.Resolved(at, t.ID, r) })
	}
	for _, t := range h.shards.Tick(now) {
		r := m.resolve(t, lose)
		answers = append(answers, func(time.Time) { h.shards.Resolved(t.ID, r) })
	}
	return func(at time.Time) {
		for _, f := range answers {
			f(at)
		}
	}
}

func (h *stored) holds(now time.Time) bool { return h.shards.Held(now, 0) }

func (h *stored) act(id string) oleandervalve.Transaction {
	return oleandervalve.Transaction{ID: oleandervalve.MutationID(id), Conditions: h.shards.Fence(0)}
}

// timed is a lease that compares clocks of entries and writes without a
// condition, as a comparison.
type timed struct {
	name  string
	skew  time.Duration
	until time.Time
}

type timedRow struct {
	Owner string    `json:"owner"`
	Until time.Time `json:"until"`
}

func (h *timed) tick(m *memory, now time.Time, _ bool) func(time.Time) {
	local := now.Add(h.skew)
	var v timedRow
	_ = json.Unmarshal(m.rows[ShardKey(TaskShards, 0)].Value, &v)
	if v.Owner != h.name && local.Before(v.Until) {
		h.until = time.Time{}
		return func(time.Time) {}
	}
	v = timedRow{h.name, local.Add(SessionLease)}
	b, _ := json.Marshal(v)
	_, _ = m.commit(oleandervalve.Transaction{Puts: []oleandervalve.Put{{Key: ShardKey(TaskShards, 0), Value: b}}})
	return func(time.Time) { h.until = v.Until }
}

func (h *timed) holds(now time.Time) bool                { return now.Add(h.skew).Before(h.until) }
func (h *timed) act(id string) oleandervalve.Transaction { return oleandervalve.Transaction{} }

// doubleHolders lets three entries with pauses, lost answers and clock skew
// compete for three hours and counts the seconds with two holders and the writes
// that were accepted from an entry that had lost the lease.
func doubleHolders(seed uint64, newHolder func(i int) holder) (seconds, stale, acts int) {
	r := rand.New(rand.NewPCG(seed, 0))
	m := &memory{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	type entry struct {
		h       holder
		paused  int
		resumed []func(time.Time)
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
				for _, f := range e.resumed {
					f(m.now)
				}
				e.resumed = nil
				answers := e.h.tick(m, m.now, r.IntN(10) == 0)
				paused := r.IntN(60) == 0 // between the write and its answer
				if paused {
					e.resumed = append(e.resumed, answers)
				} else {
					answers(m.now)
				}
				if !paused && e.h.holds(m.now) {
					t := e.h.act(fmt.Sprint(name, "-", s))
					write := func(time.Time) {
						if _, err := m.commit(t); err == nil {
							acts++
							if owner() != name {
								stale++
							}
						}
					}
					if r.IntN(60) == 0 { // between the check and the guarded write
						e.resumed = append(e.resumed, write)
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
			seconds++
		}
	}
	return seconds, stale, acts
}

// Guards against two entries that own a shard at once because one was paused or
// its clock differs. The lease with compare-and-set, fencing and expiry by the
// table's clock is compared with one that trusts the entries' clocks.
func TestDoubleHolders(t *testing.T) {
	is := is.New(t)
	var seconds, stale, acts, timedSeconds, timedStale int
	for seed := range uint64(5) {
		n, m, k := doubleHolders(seed, func(i int) holder {
			s := NewSession(SessionRow{Entry: oleandervalve.EntryID(fmt.Sprint("e", i)), Session: "s"}, SessionLease)
			return &stored{s, NewShards(TaskShards, 1, s)}
		})
		seconds, stale, acts = seconds+n, stale+m, acts+k
		n, m, _ = doubleHolders(seed, func(i int) holder {
			return &timed{name: fmt.Sprint("e", i), skew: time.Duration(i-1) * 2 * time.Second}
		})
		timedSeconds, timedStale = timedSeconds+n, timedStale+m
	}
	t.Logf("5 seeds of 10800 s: with: %d seconds of two holders, %d stale writes of %d; without: %d seconds, %d stale writes",
		seconds, stale, acts, timedSeconds, timedStale)
	is.Equal(seconds+stale, 0)
	is.True(acts > 20_000) // the lease is held most of the time
	is.True(timedSeconds > 0 && timedStale > 0)
}

// Guards against an owner's shards that nobody takes over after its loss, or
// that are taken later than a session and a scan allow.
func TestShardsMoveAfterLoss(t *testing.T) {
	is := is.New(t)
	m := &memory{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	var list []*stored
	for i := range 3 {
		s := NewSession(SessionRow{Entry: oleandervalve.EntryID(fmt.Sprint("e", i)), Session: "s"}, SessionLease)
		list = append(list, &stored{s, NewShards(TaskShards, 16, s)})
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
	// Rows that vanish, as from a restored backup, leave no shard without an owner.
	for k := range m.rows {
		if strings.HasPrefix(string(k), string(ShardPrefix(TaskShards))) {
			delete(m.rows, k)
		}
	}
	step()
	step()
	is.Equal(step(), 16)
	list = list[1:]
	lost := m.now
	for step() < 16 && m.now.Sub(lost) < time.Minute {
	}
	t.Logf("16 shards owned again after %s", m.now.Sub(lost))
	is.True(m.now.Sub(lost) <= SessionLease+2*time.Second)
	// A planned stop hands over without waiting for the session to expire.
	leave, ok := list[0].session.Leave(m.now)
	is.True(ok)
	m.resolve(leave, false)
	list = list[1:]
	step()
	is.Equal(step(), 16)
}

// Guards against an agent that acts after a pause longer than its lease, or
// does not notice the lapse because a late renewal arrives first.
func TestWorkerLeaseLapses(t *testing.T) {
	is := is.New(t)
	w := NewWorker(WorkerLease)
	is.True(!w.Valid(start))
	w.Renew(start.Add(20*time.Second), start) // the answer took 20 s
	is.Equal(w.Deadline(), start.Add(WorkerLease))
	is.True(w.Valid(start.Add(WorkerLease - 1)))
	is.True(!w.Valid(start.Add(WorkerLease)))
	is.Equal(w.Term(start), uint64(1))
	w.Renew(start.Add(12*time.Minute), start.Add(10*time.Minute))
	is.True(w.Valid(start.Add(12 * time.Minute)))
	w.Renew(start.Add(22*time.Minute), start.Add(21*time.Minute)) // lapsed at 21 min
	is.True(w.Valid(start.Add(22 * time.Minute)))
	is.Equal(w.Term(start.Add(22*time.Minute)), uint64(2))
	w.Renew(start.Add(50*time.Minute), start.Add(30*time.Minute)) // expired on arrival
	is.True(!w.Valid(start.Add(50 * time.Minute)))
	s := NewSuspicion(SuspectAfter)
	is.True(s.Suspect(start, "w"))
	s.Heard(start, "w")
	is.True(!s.Suspect(start.Add(SuspectAfter-1), "w"))
	is.True(s.Suspect(start.Add(SuspectAfter), "w"))
}

// Guards against a takeover that the table commits before a worker's lease and
// the guard have passed, although other workers of the row are renewed, and
// against renewals acknowledged without being committed.
func TestRenewalsAndExpiry(t *testing.T) {
	is := is.New(t)
	m := &memory{rows: map[oleandervalve.Key]oleandervalve.Row{}, now: start}
	key := RenewalKey(0)
	owners := []*Renewals{NewRenewals(0, "a"), NewRenewals(0, "b")}
	writes, acks := 0, map[oleandervalve.WorkerID]time.Time{}
	view, proposed := NewExpiries(WorkerLease, Guard), time.Time{}
	takeover := func(w oleandervalve.WorkerID) bool {
		c, err := Expired(m.rows[key], w, WorkerLease, Guard)
		is.NoErr(err)
		_, err = m.commit(oleandervalve.Transaction{Conditions: []oleandervalve.Condition{c}})
		return err == nil
	}
	silent := start.Add(15 * time.Second) // the last heartbeat of w1
	taken := time.Time{}
	for m.now.Sub(start) < 13*time.Minute {
		m.now = m.now.Add(time.Second)
		for i, o := range owners { // two owners at once
			if !o.Loaded() || i == 1 && m.now.Unix()%7 == 0 {
				r := m.rows[key]
				r.Key = key
				o.Observe(r)
			}
			o.Heartbeat("w2", m.now)
			if !m.now.After(silent) {
				o.Heartbeat("w1", m.now)
			}
			if tx, ok := o.Tick(m.now); ok {
				writes++
				for _, a := range o.Resolved(m.now, tx.ID, m.resolve(tx, m.now.Unix()%3 == 0)) {
					acks[a.Worker] = a.SentAt
				}
			}
		}
		is.True(!takeover("w2"))
		if view.ReadDue(m.now) {
			view.Observe(m.now, m.scan("workerLeases/"))
		}
		due, err := view.Due(m.now)
		is.NoErr(err)
		if len(due) > 0 && proposed.IsZero() {
			is.Equal(due[0].Worker, oleandervalve.WorkerID("w1"))
			proposed = m.now
		}
		if taken.IsZero() && takeover("w1") {
			taken = m.now
		}
	}
	renewed := acks["w1"]
	t.Logf("%d writes in 13 min by two owners; w1 renewed at %s, taken over at %s", writes, renewed.Sub(start), taken.Sub(start))
	is.True(!taken.Before(renewed.Add(WorkerLease + Guard)))
	is.True(!proposed.Before(taken) && proposed.Sub(taken) <= expiryRead) // tried in time, not too early
	is.True(taken.Sub(renewed) <= WorkerLease+Guard+2*RenewEvery)
	list, err := ExpiredBy(m.rows[key], m.now, WorkerLease, Guard)
	is.NoErr(err)
	is.Equal(list, []oleandervalve.WorkerID{"w1"})
}
