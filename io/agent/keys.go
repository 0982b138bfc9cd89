package agent

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"oleandervalve"
	"oleandervalve/core/callerkey"
	"oleandervalve/core/keyrange"
	"oleandervalve/io/peer"
)

const (
	// keysEvery is how often a home reads the map and its lease row.
	keysEvery = time.Second
	// keysTableWait bounds one table call of the key service.
	keysTableWait = 5 * time.Second
	// balanceLeases is the number of lease intervals between two comparisons of
	// the homes' loads: once a minute, 64 homes read 70 lease rows/s together.
	balanceLeases = 6
	// maxVainPlans leaves the entries time to take over a lost home first, and
	// other homes time to renew their leases after a table outage.
	maxVainPlans = 15
	// maxLeaseRows bounds the lease rows that are read to find a successor.
	maxLeaseRows = 1000
)

// KeyOptions are the settings of an agent that keeps records of idempotency
// keys; the lease must be the same in all processes.
type KeyOptions struct {
	Lease  keyrange.LeaseOptions
	Limits callerkey.Limits
	// MaxHomes bounds the number of agents that keep records.
	MaxHomes int
}

// DefaultKeyOptions are the values of docs/decisions/idempotency-keys.md.
func DefaultKeyOptions() KeyOptions {
	return KeyOptions{Lease: keyrange.DefaultLease(), Limits: callerkey.DefaultLimits(), MaxHomes: 64}
}

// WithKeys makes the agent keep the records of idempotency keys in the ranges
// that the map in the table gives to it.
func WithKeys(t oleandervalve.Table, o KeyOptions) Option {
	return func(a *Agent) {
		a.keys = &keys{agent: a, table: t, options: o, wake: make(chan struct{}, 1), drained: make(chan struct{}), avoid: map[keyrange.Owner]bool{}}
	}
}

// keys is the key service of an agent. One goroutine makes all table calls, and
// makes them without a lock; the lock is not the agent's.
type keys struct {
	agent   *Agent
	table   oleandervalve.Table
	options KeyOptions
	wake    chan struct{}
	// drained is closed when a planned stop has no ranges left to move.
	drained chan struct{}
	done    bool
	// balanced is when the loads of the homes were compared last.
	balanced time.Time
	// vain counts the plans of a planned stop that found no successor.
	vain int

	mu    sync.Mutex
	lease *keyrange.Lease
	// home is nil until the lease row was read.
	home     *callerkey.RecordStore
	view     keyrange.Map
	draining bool
	move     *move
	transfer uint64
	// avoid lists homes that took no records during this planned stop.
	avoid map[keyrange.Owner]bool
}

// move is the planned move in progress.
type move struct {
	id     uint64
	to     keyrange.Owner
	ranges []keyrange.ID
	// commit is repeated unchanged until the map shows its result: at most one copy can take effect.
	commit *oleandervalve.Transaction
}

func newMutation() oleandervalve.MutationID {
	return oleandervalve.MutationID(strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16))
}

func (k *keys) run() {
	defer k.agent.stopped.Done()
	for {
		k.step()
		select {
		case <-k.agent.ctx.Done():
			return
		case <-k.wake:
		case <-k.agent.clock.After(keysEvery):
		}
	}
}

func (k *keys) step() {
	ctx, cancel := context.WithTimeout(k.agent.ctx, keysTableWait)
	defer cancel()
	if k.home == nil && !k.start(ctx) {
		k.mu.Lock()
		draining := k.draining
		k.mu.Unlock()
		if draining && !k.done {
			k.finishDrain()
		}
		return
	}
	k.renew(ctx)
	k.read(ctx)
	k.mu.Lock()
	if k.lease.Lost() {
		k.agent.log.Warn("lease of the idempotency keys was lost; starting without records")
		k.home, k.move = nil, nil
		k.mu.Unlock()
		k.signal()
		return
	}
	k.home.Tick(k.agent.clock.Now())
	n, _ := k.home.Usage()
	k.mu.Unlock()
	k.agent.scope.Gauge("key_records").Update(float64(n))
	k.handOver(ctx)
}

// start begins a new incarnation; a home whose lease was lost admits nothing any more.
func (k *keys) start(ctx context.Context) bool {
	rows, err := k.table.Get(ctx, keyrange.LeaseKey(k.agent.id))
	if err != nil || len(rows) != 1 {
		k.agent.log.WithError(err).Warn("lease row of the idempotency keys could not be read; retrying")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = keyrange.NewLease(keyrange.Owner{Agent: k.agent.id, Incarnation: rand.Uint64()}, k.options.Lease, rows[0])
	k.home = callerkey.NewRecordStore(k.agent.clock.Now(), k.lease, k.options.Limits)
	k.view = keyrange.Map{}
	// Transfers of one home grow, and those of other homes start elsewhere.
	k.transfer = rand.Uint64() >> 1
	return true
}

func (k *keys) renew(ctx context.Context) {
	k.mu.Lock()
	x, ok := k.lease.Renew(k.agent.clock.Now(), newMutation())
	k.mu.Unlock()
	if !ok {
		return
	}
	c, err := k.table.Commit(ctx, x)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.HandleResult(x.ID, c, err)
}

func (k *keys) read(ctx context.Context) {
	rows, err := k.table.Get(ctx, keyrange.MapKey, keyrange.LeaseKey(k.agent.id))
	if err != nil || len(rows) != 2 {
		return
	}
	m, err := keyrange.Decode(rows[0])
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Observe(rows[1])
	if err != nil {
		k.agent.log.WithError(err).Error("key range map could not be read")
		return
	}
	if m.Version() > k.view.Version() {
		k.view = m
		k.home.ApplyMap(k.agent.clock.Now(), m)
	}
}

// handOver moves ranges, one successor at a time: all of them at a planned
// stop, else those of which the agent has more than others.
func (k *keys) handOver(ctx context.Context) {
	for {
		k.mu.Lock()
		idle := k.move == nil
		mine := k.view.Ranges(k.lease.Owner())
		draining := k.draining
		k.mu.Unlock()
		switch {
		case draining && k.done:
			return
		case draining && len(mine) == 0:
			k.finishDrain()
			return
		case !draining && idle && !k.balanceDue(len(mine)):
			return
		}
		if idle && !k.beginMove(ctx) {
			return
		}
		if !k.moveOn(ctx) {
			return
		}
	}
}

// balanceDue reports whether it is time to compare the loads of the homes,
// which costs a read of all lease rows.
func (k *keys) balanceDue(mine int) bool {
	now := k.agent.clock.Now()
	if mine == 0 || now.Sub(k.balanced) < balanceLeases*k.options.Lease.RenewInterval {
		return false
	}
	k.balanced = now
	return true
}

func (k *keys) finishDrain() {
	k.done = true
	close(k.drained)
}

// beginMove chooses the next successor and freezes the ranges that it gets.
func (k *keys) beginMove(ctx context.Context) bool {
	page, err := k.table.Scan(ctx, keyrange.LeasePrefix, "", maxLeaseRows)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	self := k.lease.Owner()
	o := keyrange.Observation{Map: k.view, Leases: page.Rows, At: page.At, MaxOwners: k.options.MaxHomes}
	if k.draining {
		o.Draining = append(o.Draining, self)
		for h := range k.avoid {
			o.Draining = append(o.Draining, h)
		}
	}
	var m *move
	for _, x := range o.Next(newMutation(), k.options.Lease).Transfers {
		if x.From != self {
			continue
		}
		if m == nil {
			k.transfer++
			m = &move{id: k.transfer, to: x.To}
		}
		if x.To == m.to {
			m.ranges = append(m.ranges, x.Range)
		}
	}
	if m == nil {
		if !k.draining {
			return false
		}
		if k.vain++; len(k.avoid) > 0 || len(page.Rows) <= 1 || k.vain > maxVainPlans {
			k.agent.log.Warn("no other agent takes the records of the idempotency keys; their keys become unknown")
			k.finishDrain()
		}
		return false
	}
	if err := k.home.BeginTransfer(k.agent.clock.Now(), m.id, m.to, m.ranges); err != nil {
		k.agent.log.WithError(err).Warn("key ranges could not be frozen; retrying")
		return false
	}
	k.move = m
	return true
}

// moveOn takes the next step of the move and reports whether the move has ended.
func (k *keys) moveOn(ctx context.Context) bool {
	k.mu.Lock()
	m := k.move
	s := k.home.AdvanceTransfer(k.agent.clock.Now(), m.id, k.view, newMutation())
	if s.Commit != nil {
		m.commit = s.Commit
	}
	if s.Ended {
		for _, r := range m.ranges {
			if k.draining && k.view.Get(r).Owner == k.lease.Owner() {
				k.avoid[m.to] = true
			}
		}
		k.move = nil
	}
	commit := m.commit
	k.mu.Unlock()
	for _, e := range s.Send {
		k.agent.sendAny(peer.NewKeyExport(e))
	}
	if s.Ended || commit == nil {
		return s.Ended
	}
	if _, err := k.table.Commit(ctx, *commit); err != nil {
		k.agent.log.WithError(err).Info("move of key ranges was not confirmed; reading the map")
	}
	k.read(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	newer := k.view.Version() > commit.Conditions[0].Version
	if newer {
		m.commit = nil
	}
	return newer
}

func (k *keys) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// handleKeys takes a message about idempotency keys and reports whether it was one.
func (a *Agent) handleKeys(l *link, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.KeyBegin:
		s := callerkey.Reply{Entry: m.Entry, Request: m.Request, Status: callerkey.StatusNotOwner, Reason: callerkey.ReasonOwnerUnreachable, RetryAfter: keysEvery}
		a.keys.withHome(func(h *callerkey.RecordStore, now time.Time) { s = h.Begin(now, callerkey.Begin(*m)) })
		answer := peer.KeyState(s)
		l.conn.TrySend(&answer)
	case *peer.KeyFinish:
		s := callerkey.Reply{Entry: m.Entry, Request: m.Request, Status: callerkey.StatusNotOwner, Reason: callerkey.ReasonOwnerUnreachable, RetryAfter: keysEvery}
		a.keys.withHome(func(h *callerkey.RecordStore, now time.Time) { s = h.Finish(now, callerkey.Finish(*m)) })
		answer := peer.KeyState(s)
		l.conn.TrySend(&answer)
	case *peer.KeyExport:
		a.keys.importPart(l, m)
	case *peer.KeyImport:
		a.keys.withHome(func(h *callerkey.RecordStore, _ time.Time) { h.HandleExportAck(callerkey.ExportAck(*m)) })
		if a.keys != nil {
			a.keys.signal()
		}
	default:
		return false
	}
	return true
}

// withHome calls do under the lock if this agent has a home.
func (k *keys) withHome(do func(*callerkey.RecordStore, time.Time)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.home != nil {
		do(k.home, k.agent.clock.Now())
	}
}

func (k *keys) importPart(l *link, m *peer.KeyExport) {
	out := callerkey.ExportAck{
		Transfer: m.Transfer, FromAgent: m.FromAgent, FromIncarnation: m.FromIncarnation,
		ToAgent: m.ToAgent, ToIncarnation: m.ToIncarnation, Refused: callerkey.ReasonOwnerUnreachable,
	}
	k.withHome(func(h *callerkey.RecordStore, now time.Time) {
		// A stopping agent would have to hand the records over again. It still
		// acknowledges a transfer whose records it has, which may be committed.
		if !k.draining || m.Sequence > 0 || m.Abort {
			out = h.HandleExport(now, m.Export())
		}
	})
	answer := peer.KeyImport(out)
	l.conn.TrySend(&answer)
}

// sendAny sends a message over the link to one entry, chosen at random so that
// a repetition may take another way.
func (a *Agent) sendAny(m peer.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.conn.TrySend(m) {
			return
		}
	}
}

// KeyRanges returns how many ranges of idempotency keys the agent is home of.
func (a *Agent) KeyRanges() int {
	n := 0
	a.keys.withHome(func(*callerkey.RecordStore, time.Time) { n = len(a.keys.view.Ranges(a.keys.lease.Owner())) })
	return n
}

// drainKeys hands the records over to other agents and reports whether it ended in time.
func (a *Agent) drainKeys(within time.Duration) bool {
	k := a.keys
	if k == nil {
		return true
	}
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	k.signal()
	select {
	case <-k.drained:
		return true
	case <-a.ctx.Done():
	case <-a.clock.After(within):
	}
	return false
}
