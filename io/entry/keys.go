package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oleandervalve"
	"oleandervalve/core/callerkey"
	"oleandervalve/core/keyrange"
	"oleandervalve/io/peer"
)

const (
	// keysEvery is how often an entry reads the key range map.
	keysEvery = time.Second
	// keysTableWait bounds one table call of the key service.
	keysTableWait = 5 * time.Second
	// keysTick bounds how often due attempts are looked for: an attempt that
	// executes past its deadline stays due until its execution ends.
	keysTick = 10 * time.Millisecond
	// reportWait is how long a planned stop waits for a home to record an outcome.
	reportWait = 5 * time.Second
	// maxLeaseRows bounds the lease rows of a plan.
	maxLeaseRows = 1000
)

// KeyOptions are the settings of an entry that executes keyed calls; the lease
// must be the same in all processes.
type KeyOptions struct {
	Lease keyrange.LeaseOptions
	// MaxHomes bounds the number of agents that keep records.
	MaxHomes int
	// MaxAnswer is the largest answer in bytes that is kept for a retry.
	MaxAnswer oleandervalve.Bytes
}

// DefaultKeyOptions are the values of docs/decisions/idempotency-keys.md.
func DefaultKeyOptions() KeyOptions {
	return KeyOptions{Lease: keyrange.DefaultLease(), MaxHomes: 64, MaxAnswer: callerkey.DefaultLimits().MaxAnswer}
}

// WithKeys makes the entry execute calls with an idempotency key at most once;
// the table holds the map to the agents that keep the records.
func WithKeys(t oleandervalve.Table, o KeyOptions) Option {
	return func(e *Entry) {
		e.keys = &keys{
			entry: e, table: t, options: o, attempts: callerkey.NewAttempts(), calls: map[oleandervalve.RequestID]chan callerkey.Action{},
			unreported: map[oleandervalve.RequestID]time.Time{}, superseded: map[keyrange.Owner]time.Time{},
		}
	}
}

// IgnoreKeys makes the entry treat a call with an idempotency key like one
// without; a retry may then run again.
func IgnoreKeys() Option { return func(e *Entry) { e.ignoreKeys = true } }

// keys is the key service of an entry. Its lock is taken before the entry's.
type keys struct {
	entry   *Entry
	table   oleandervalve.Table
	options KeyOptions
	dirty   atomic.Bool

	mu       sync.Mutex
	view     keyrange.Map
	attempts *callerkey.Attempts
	calls    map[oleandervalve.RequestID]chan callerkey.Action
	// unreported are recent executions whose outcome the home has not acknowledged.
	unreported map[oleandervalve.RequestID]time.Time

	// The fields below belong to the goroutine that reads the table.

	planned time.Time
	// known are the homes with a lease at the last plan, see plan.
	known map[keyrange.Owner]bool
	// superseded is when each home of the map was first seen without its lease row.
	superseded map[keyrange.Owner]time.Time
}

func (k *keys) start() {
	k.entry.stopped.Add(2)
	go k.runAttempts()
	go k.runTable()
}

// runAttempts sends what is due. It looks every keysTick instead of waiting for
// messages, because each look goes over all attempts.
func (k *keys) runAttempts() {
	defer k.entry.stopped.Done()
	for {
		select {
		case <-k.entry.stop:
			return
		case <-k.entry.clock.After(keysTick):
		}
		now := k.entry.clock.Now()
		k.mu.Lock()
		if due, some := k.attempts.NextWakeup(); some && (k.dirty.Swap(false) || !due.After(now)) {
			linked := k.entry.linked()
			for _, a := range k.attempts.Tick(now, func(r keyrange.ID) callerkey.Route {
				h := k.view.Get(r).Owner
				return callerkey.Route{Owner: h, Connected: linked[h.Agent], MapVersion: k.view.Version()}
			}) {
				k.act(a.Request, a.Actions)
			}
		}
		k.mu.Unlock()
	}
}

// linked lists the connected agents.
func (e *Entry) linked() map[oleandervalve.AgentID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[oleandervalve.AgentID]bool, len(e.links))
	for a := range e.links {
		out[a] = true
	}
	return out
}

// changed makes attempts notice a new map or link.
func (k *keys) changed() {
	if k != nil {
		k.dirty.Store(true)
	}
}

// route returns the way to the home of a range; the caller holds the lock.
func (k *keys) route(r keyrange.ID) callerkey.Route {
	h := k.view.Get(r).Owner
	return callerkey.Route{Owner: h, Connected: !h.IsZero() && k.entry.agentLink(h.Agent) != nil, MapVersion: k.view.Version()}
}

func (e *Entry) agentLink(a oleandervalve.AgentID) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[a]
}

func (e *Entry) sendAgent(a oleandervalve.AgentID, m peer.Message) {
	if l := e.agentLink(a); l != nil {
		l.conn.TrySend(m)
	}
}

// act carries out the actions of an attempt; the caller holds the lock. A
// message that can't be sent now is sent again when it is due.
func (k *keys) act(id oleandervalve.RequestID, actions []callerkey.Action) {
	for _, x := range actions {
		switch {
		case x.Begin != nil:
			m := peer.KeyBegin(*x.Begin)
			k.entry.sendAgent(x.To.Agent, &m)
		case x.Finish != nil:
			m := peer.KeyFinish(*x.Finish)
			k.entry.sendAgent(x.To.Agent, &m)
		default:
			if c := k.calls[id]; c != nil {
				c <- x
			}
		}
	}
}

// handle takes a message about idempotency keys from an agent and reports whether it was one.
func (k *keys) handle(l *link, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.KeyState:
		if k != nil {
			k.mu.Lock()
			k.act(m.Request, k.attempts.Handle(k.entry.clock.Now(), callerkey.Reply(*m)))
			if m.Status == callerkey.StatusRecorded {
				delete(k.unreported, m.Request)
			}
			k.mu.Unlock()
		}
	case *peer.KeyExport:
		if k != nil && m.FromAgent == l.agent {
			k.entry.sendAgent(m.ToAgent, m)
		}
	case *peer.KeyImport:
		if k != nil && m.ToAgent == l.agent {
			k.entry.sendAgent(m.FromAgent, m)
		}
	default:
		return false
	}
	return true
}

// add starts an attempt and returns where its decision arrives.
func (k *keys) add(a *callerkey.Attempt, id oleandervalve.RequestID) chan callerkey.Action {
	// An attempt ends its asking phase once, and reports one result after an execution.
	c := make(chan callerkey.Action, 2)
	k.mu.Lock()
	k.calls[id] = c
	k.act(id, k.attempts.Add(k.entry.clock.Now(), a, k.route(a.Range())))
	k.mu.Unlock()
	return c
}

func (k *keys) forget(id oleandervalve.RequestID) {
	k.mu.Lock()
	delete(k.calls, id)
	k.mu.Unlock()
}

func (k *keys) executed(id oleandervalve.RequestID, x callerkey.Execution) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.entry.clock.Now()
	k.unreported[id] = now
	k.act(id, k.attempts.Executed(now, id, x))
}

// reported reports whether the homes know the outcome of every execution, but
// for those whose home has been silent for so long that it may be lost.
func (k *keys) reported() bool {
	if k == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, at := range k.unreported {
		if k.entry.clock.Now().Sub(at) > reportWait {
			delete(k.unreported, id)
		}
	}
	return len(k.unreported) == 0
}

// withdraw ends the attempt of a caller that has gone. A permission that
// arrived at the same time is given back unused.
func (k *keys) withdraw(id oleandervalve.RequestID, decision chan callerkey.Action) {
	k.mu.Lock()
	k.attempts.Withdraw(k.entry.clock.Now(), id)
	k.mu.Unlock()
	select {
	case d := <-decision:
		if d.Execute {
			k.executed(id, callerkey.Execution{Outcome: oleandervalve.OutcomeNotRun})
		}
	default:
	}
}

func (k *keys) runTable() {
	defer k.entry.stopped.Done()
	// Entries that start together spread their plans over the interval.
	k.planned = k.entry.clock.Now().Add(-time.Duration(rand.Int64N(int64(k.options.Lease.RenewInterval) + 1)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-k.entry.stop
		cancel()
	}()
	for {
		k.readMap(ctx)
		k.plan(ctx)
		k.reported()
		select {
		case <-k.entry.stop:
			return
		case <-k.entry.clock.After(keysEvery):
		}
	}
}

func (k *keys) readMap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keysTableWait)
	defer cancel()
	rows, err := k.table.Get(ctx, keyrange.MapKey)
	if err != nil || len(rows) != 1 {
		return
	}
	m, err := keyrange.Decode(rows[0])
	if err != nil {
		k.entry.log.WithError(err).Error("key range map could not be read")
		return
	}
	k.mu.Lock()
	newer := m.Version() > k.view.Version()
	if newer {
		k.view = m
	}
	k.mu.Unlock()
	if newer {
		k.changed()
	}
}

// plan commits the next change of the map, if one is due. Every entry plans
// once in a lease interval, and every second while ranges have no home; the
// conditions of the transactions let only one of several planners succeed.
func (k *keys) plan(ctx context.Context) {
	now := k.entry.clock.Now()
	k.mu.Lock()
	m := k.view
	k.mu.Unlock()
	if !m.Get(0).Owner.IsZero() && now.Sub(k.planned) < k.options.Lease.RenewInterval {
		return
	}
	k.planned = now
	ctx, cancel := context.WithTimeout(ctx, keysTableWait)
	defer cancel()
	// The map was read before the lease rows, so that a home that loses its
	// ranges in between makes the commit conflict.
	page, err := k.table.Scan(ctx, keyrange.LeasePrefix, "", maxLeaseRows)
	if err != nil || page.Next != "" {
		return
	}
	o := keyrange.Observation{
		Map: m, Leases: page.Rows, At: page.At, Terminated: k.ended(now, m, page.Rows), Draining: k.leaving(page.Rows), MaxOwners: k.options.MaxHomes,
	}
	if m.Get(0).Owner.IsZero() && !k.settled(page.Rows) {
		return
	}
	id := oleandervalve.MutationID(string(k.entry.id) + "-" + k.entry.boot + "-" + strconv.FormatUint(rand.Uint64(), 36))
	p := o.Next(id, k.options.Lease)
	if p.Commit == nil {
		return
	}
	_, err = k.table.Commit(ctx, *p.Commit)
	k.entry.log.WithError(err).WithField("lostHome", p.FailedOwner).Info("key range map change was sent")
	// Whatever the answer said, the map shows what took effect; a change that
	// did not is planned anew on the map that was read back.
	k.readMap(ctx)
}

// settled reports whether the homes are those of the last plan, so that the
// agents of a starting system share the ranges.
func (k *keys) settled(rows []oleandervalve.Row) bool {
	homes := map[keyrange.Owner]bool{}
	same := true
	for _, r := range rows {
		if h, ok := keyrange.OwnerOf(r); ok {
			homes[h] = true
			same = same && k.known[h]
		}
	}
	same = same && len(homes) == len(k.known)
	k.known = homes
	return same
}

// ended lists homes whose lease row has belonged to another incarnation for as
// long as their last lease can have lasted: they can't have renewed since.
func (k *keys) ended(now time.Time, m keyrange.Map, rows []oleandervalve.Row) map[keyrange.Owner]bool {
	holders := map[oleandervalve.AgentID]keyrange.Owner{}
	for _, r := range rows {
		if h, ok := keyrange.OwnerOf(r); ok {
			holders[h.Agent] = h
		}
	}
	out := map[keyrange.Owner]bool{}
	seen := map[keyrange.Owner]time.Time{}
	for _, h := range m.Owners() {
		if o, ok := holders[h.Agent]; !ok || o == h {
			continue
		}
		since, ok := k.superseded[h]
		if !ok {
			since = now
		}
		seen[h] = since
		if now.Sub(since) >= k.options.Lease.Duration+k.options.Lease.Guard {
			out[h] = true
		}
	}
	k.superseded = seen
	return out
}

// KeyHomes reports whether every range of idempotency keys has a home, as far
// as this entry knows; true if it has no key service.
func (e *Entry) KeyHomes() bool {
	if e.keys == nil {
		return true
	}
	e.keys.mu.Lock()
	defer e.keys.mu.Unlock()
	for r := range keyrange.Count {
		if e.keys.view.Get(keyrange.ID(r)).Owner.IsZero() {
			return false
		}
	}
	return true
}

// leaving lists the homes of agents that announced a planned stop.
func (k *keys) leaving(rows []oleandervalve.Row) []keyrange.Owner {
	var out []keyrange.Owner
	for _, r := range rows {
		h, ok := keyrange.OwnerOf(r)
		if !ok {
			continue
		}
		if l := k.entry.agentLink(h.Agent); l != nil && l.draining.Load() {
			out = append(out, h)
		}
	}
	return out
}
