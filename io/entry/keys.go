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
	// mapReadInterval is how often an entry reads the key range map from the table.
	mapReadInterval = time.Second
	// keyTableTimeout is the timeout of one table call of the key service.
	keyTableTimeout = 5 * time.Second
	// attemptTickInterval limits how often attempts are checked for expired
	// timers: an attempt that executes past its deadline counts as expired until
	// its execution ends, and would otherwise be checked in a busy loop.
	attemptTickInterval = 10 * time.Millisecond
	// reportTimeout is how long a planned stop waits for an owner to record an outcome.
	reportTimeout = 5 * time.Second
	// maxLeaseRows bounds the lease rows that plan reads.
	maxLeaseRows = 1000
)

// KeyOptions configures an entry that executes calls with idempotency keys. The
// lease must be the same in all processes.
type KeyOptions struct {
	Lease keyrange.LeaseOptions
	// MaxOwners limits the number of agents that own key ranges.
	MaxOwners int
	// MaxAnswer is the largest response body that is recorded for a retry.
	MaxAnswer oleandervalve.Bytes
}

// DefaultKeyOptions returns the values given in docs/decisions/idempotency-keys.md.
func DefaultKeyOptions() KeyOptions {
	return KeyOptions{Lease: keyrange.DefaultLease(), MaxOwners: 64, MaxAnswer: callerkey.DefaultLimits().MaxAnswer}
}

// WithKeys makes the entry execute calls with an idempotency key at most once.
// The table holds the map from key ranges to the agents that own them.
func WithKeys(t oleandervalve.Table, o KeyOptions) Option {
	return func(e *Entry) {
		e.keys = &keyService{
			entry: e, table: t, options: o, attempts: callerkey.NewAttempts(), calls: map[oleandervalve.RequestID]chan callerkey.Action{},
			unreported: map[oleandervalve.RequestID]time.Time{}, supersededSince: map[keyrange.Owner]time.Time{},
		}
	}
}

// IgnoreKeys makes the entry treat a call with an idempotency key like a call
// without one, so a retry may run again.
func IgnoreKeys() Option { return func(e *Entry) { e.ignoreKeys = true } }

// keyService tracks the calls with idempotency keys and the key range map of an
// entry. Lock order: its mutex is acquired before the entry's.
type keyService struct {
	entry   *Entry
	table   oleandervalve.Table
	options KeyOptions
	dirty   atomic.Bool

	mu       sync.Mutex
	view     keyrange.Map
	attempts *callerkey.Attempts
	calls    map[oleandervalve.RequestID]chan callerkey.Action
	// unreported holds the recent executions whose outcome the owner has not
	// acknowledged, with the time at which they ended.
	unreported map[oleandervalve.RequestID]time.Time

	// The fields below are only used by the goroutine that reads the table.

	plannedAt time.Time
	// lastOwners are the owners that had a lease row at the last plan; see ownersStable.
	lastOwners map[keyrange.Owner]bool
	// supersededSince is when the lease row of each superseded owner was first
	// seen with another incarnation; see terminatedOwners.
	supersededSince map[keyrange.Owner]time.Time
}

func (k *keyService) start() {
	k.entry.goroutines.Add(2)
	go k.runAttempts()
	go k.runTable()
}

// runAttempts runs the actions of attempts whose timers have expired. It polls at
// attemptTickInterval instead of reacting to each message, because each Tick scans
// all attempts.
func (k *keyService) runAttempts() {
	defer k.entry.goroutines.Done()
	for {
		select {
		case <-k.entry.stop:
			return
		case <-k.entry.clock.After(attemptTickInterval):
		}
		now := k.entry.clock.Now()
		k.mu.Lock()
		if wakeup, ok := k.attempts.NextWakeup(); ok && (k.dirty.Swap(false) || !wakeup.After(now)) {
			connected := k.entry.connectedAgents()
			for _, a := range k.attempts.Tick(now, func(r keyrange.ID) callerkey.Route {
				owner := k.view.Get(r).Owner
				return callerkey.Route{Owner: owner, Connected: connected[owner.Agent], MapVersion: k.view.Version()}
			}) {
				k.executeActions(a.Request, a.Actions)
			}
		}
		k.mu.Unlock()
	}
}

// connectedAgents returns the set of connected agents.
func (e *Entry) connectedAgents() map[oleandervalve.AgentID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[oleandervalve.AgentID]bool, len(e.links))
	for a := range e.links {
		out[a] = true
	}
	return out
}

// markDirty makes the next tick re-evaluate all attempts after a change of the
// map or of a connection.
func (k *keyService) markDirty() {
	if k != nil {
		k.dirty.Store(true)
	}
}

// route returns the route to the owner of a key range; the caller holds the lock.
func (k *keyService) route(r keyrange.ID) callerkey.Route {
	owner := k.view.Get(r).Owner
	return callerkey.Route{Owner: owner, Connected: !owner.IsZero() && k.entry.agentLink(owner.Agent) != nil, MapVersion: k.view.Version()}
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

// executeActions executes the actions of an attempt; the caller holds the lock. A
// message that can't be sent now is sent again when its timer expires.
func (k *keyService) executeActions(id oleandervalve.RequestID, actions []callerkey.Action) {
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

// handle handles a message of an agent about idempotency keys. It returns false
// for any other message.
func (k *keyService) handle(l *link, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.KeyState:
		if k != nil {
			k.mu.Lock()
			k.executeActions(m.Request, k.attempts.Handle(k.entry.clock.Now(), callerkey.Reply(*m)))
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

// startAttempt starts an attempt and returns the channel for its decision.
func (k *keyService) startAttempt(a *callerkey.Attempt, id oleandervalve.RequestID) chan callerkey.Action {
	// The channel receives at most two actions: the decision that ends the
	// request phase of the attempt, and one result after an execution.
	c := make(chan callerkey.Action, 2)
	k.mu.Lock()
	k.calls[id] = c
	k.executeActions(id, k.attempts.Add(k.entry.clock.Now(), a, k.route(a.Range())))
	k.mu.Unlock()
	return c
}

func (k *keyService) discardCall(id oleandervalve.RequestID) {
	k.mu.Lock()
	delete(k.calls, id)
	k.mu.Unlock()
}

func (k *keyService) reportExecution(id oleandervalve.RequestID, x callerkey.Execution) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.entry.clock.Now()
	k.unreported[id] = now
	k.executeActions(id, k.attempts.Executed(now, id, x))
}

// allReported reports whether the owners have acknowledged the outcome of every
// execution. Executions that ended more than reportTimeout ago are discarded,
// because their owner may have failed.
func (k *keyService) allReported() bool {
	if k == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, at := range k.unreported {
		if k.entry.clock.Now().Sub(at) > reportTimeout {
			delete(k.unreported, id)
		}
	}
	return len(k.unreported) == 0
}

// withdraw ends the attempt of a caller that has disconnected. A permission to
// execute that arrived at the same time is returned unused.
func (k *keyService) withdraw(id oleandervalve.RequestID, decision chan callerkey.Action) {
	k.mu.Lock()
	k.attempts.Withdraw(k.entry.clock.Now(), id)
	k.mu.Unlock()
	select {
	case d := <-decision:
		if d.Execute {
			k.reportExecution(id, callerkey.Execution{Outcome: oleandervalve.OutcomeNotRun})
		}
	default:
	}
}

func (k *keyService) runTable() {
	defer k.entry.goroutines.Done()
	// A random offset spreads the plans of entries that start together over the interval.
	k.plannedAt = k.entry.clock.Now().Add(-time.Duration(rand.Int64N(int64(k.options.Lease.RenewInterval) + 1)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-k.entry.stop
		cancel()
	}()
	for {
		k.readMap(ctx)
		k.plan(ctx)
		k.allReported() // discards outdated executions
		select {
		case <-k.entry.stop:
			return
		case <-k.entry.clock.After(mapReadInterval):
		}
	}
}

func (k *keyService) readMap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keyTableTimeout)
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
		k.markDirty()
	}
}

// plan commits the next change of the map, if one is needed. Every entry plans
// once per lease renewal interval, and every second while ranges have no owner.
// The conditions of the transactions let only one of several planners succeed.
func (k *keyService) plan(ctx context.Context) {
	now := k.entry.clock.Now()
	k.mu.Lock()
	m := k.view
	k.mu.Unlock()
	if !m.Get(0).Owner.IsZero() && now.Sub(k.plannedAt) < k.options.Lease.RenewInterval {
		return
	}
	k.plannedAt = now
	ctx, cancel := context.WithTimeout(ctx, keyTableTimeout)
	defer cancel()
	// The map was read before the lease rows, so that the commit conflicts if an
	// owner loses its ranges in between.
	page, err := k.table.Scan(ctx, keyrange.LeasePrefix, "", maxLeaseRows)
	if err != nil || page.Next != "" {
		return
	}
	observation := keyrange.Observation{
		Map: m, Leases: page.Rows, At: page.At, Terminated: k.terminatedOwners(now, m, page.Rows), Draining: k.drainingOwners(page.Rows), MaxOwners: k.options.MaxOwners,
	}
	if m.Get(0).Owner.IsZero() && !k.ownersStable(page.Rows) {
		return
	}
	id := oleandervalve.MutationID(string(k.entry.id) + "-" + k.entry.bootID + "-" + strconv.FormatUint(rand.Uint64(), 36))
	p := observation.Next(id, k.options.Lease)
	if p.Commit == nil {
		return
	}
	_, err = k.table.Commit(ctx, *p.Commit)
	k.entry.log.WithError(err).WithField("lostHome", p.FailedOwner).Info("key range map change was sent")
	// Whatever the response, the map shows whether the change was committed. If
	// it was not, the next plan starts from the map that is read here.
	k.readMap(ctx)
}

// ownersStable reports whether the owners are the same as at the last plan. The
// first assignment waits for this, so that the ranges of a starting system are
// divided among all its agents.
func (k *keyService) ownersStable(rows []oleandervalve.Row) bool {
	owners := map[keyrange.Owner]bool{}
	unchanged := true
	for _, r := range rows {
		if h, ok := keyrange.OwnerOf(r); ok {
			owners[h] = true
			unchanged = unchanged && k.lastOwners[h]
		}
	}
	unchanged = unchanged && len(owners) == len(k.lastOwners)
	k.lastOwners = owners
	return unchanged
}

// terminatedOwners returns the owners whose lease row has belonged to another
// incarnation of the agent for longer than their last lease can have been valid:
// they can't have renewed it since.
func (k *keyService) terminatedOwners(now time.Time, m keyrange.Map, rows []oleandervalve.Row) map[keyrange.Owner]bool {
	currentOwners := map[oleandervalve.AgentID]keyrange.Owner{}
	for _, r := range rows {
		if h, ok := keyrange.OwnerOf(r); ok {
			currentOwners[h.Agent] = h
		}
	}
	out := map[keyrange.Owner]bool{}
	seen := map[keyrange.Owner]time.Time{}
	for _, owner := range m.Owners() {
		if current, ok := currentOwners[owner.Agent]; !ok || current == owner {
			continue
		}
		since, ok := k.supersededSince[owner]
		if !ok {
			since = now
		}
		seen[owner] = since
		if now.Sub(since) >= k.options.Lease.Duration+k.options.Lease.Guard {
			out[owner] = true
		}
	}
	k.supersededSince = seen
	return out
}

// AllKeyRangesOwned reports whether every key range has an owner in the map that
// this entry has read. It returns true if the entry has no key service.
func (e *Entry) AllKeyRangesOwned() bool {
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

// drainingOwners returns the owners whose agents announced a planned stop.
func (k *keyService) drainingOwners(rows []oleandervalve.Row) []keyrange.Owner {
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
