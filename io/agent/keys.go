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
	// keysInterval is the interval at which an owner reads the key range map and
	// its lease row.
	keysInterval = time.Second
	// keysTableTimeout limits the table calls of one step of the key service.
	keysTableTimeout = 5 * time.Second
	// balanceLeaseIntervals is the number of lease renewal intervals between two
	// comparisons of the owners' loads: at one a minute, 64 owners together read
	// 70 lease rows/s.
	balanceLeaseIntervals = 6
	// maxFailedPlans lets the entries take over the ranges of a failed owner
	// first, and other owners renew their leases after a table outage.
	maxFailedPlans = 15
	// maxLeaseRows limits the lease rows read to find a successor.
	maxLeaseRows = 1000
)

// KeyOptions configures an agent that stores records of idempotency keys. All
// processes must use the same lease options.
type KeyOptions struct {
	Lease  keyrange.LeaseOptions
	Limits callerkey.Limits
	// MaxOwners limits the number of agents that store records.
	MaxOwners int
}

// DefaultKeyOptions returns the values of docs/decisions/idempotency-keys.md.
func DefaultKeyOptions() KeyOptions {
	return KeyOptions{Lease: keyrange.DefaultLease(), Limits: callerkey.DefaultLimits(), MaxOwners: 64}
}

// WithKeys makes the agent store the records of idempotency keys for the ranges
// that the key range map in the table assigns to it.
func WithKeys(t oleandervalve.Table, o KeyOptions) Option {
	return func(a *Agent) {
		a.keys = &keyService{agent: a, table: t, options: o, wake: make(chan struct{}, 1), drained: make(chan struct{}), failedSuccessors: map[keyrange.Owner]bool{}}
	}
}

// keyService stores the agent's records of idempotency keys. All table calls
// are made by one goroutine, without holding mu; mu is not the agent's lock.
type keyService struct {
	agent   *Agent
	table   oleandervalve.Table
	options KeyOptions
	wake    chan struct{}
	// drained is closed when a planned stop has no ranges left to transfer.
	drained   chan struct{}
	drainDone bool
	// balancedAt is the time of the last comparison of the owners' loads.
	balancedAt time.Time
	// failedPlans counts the plans of a planned stop that found no successor.
	failedPlans int

	mu    sync.Mutex
	lease *keyrange.Lease
	// store is nil until the lease row has been read.
	store          *callerkey.RecordStore
	rangeMap       keyrange.Map
	draining       bool
	transfer       *rangeTransfer
	lastTransferID uint64
	// failedSuccessors are the owners to which a transfer failed during this planned stop.
	failedSuccessors map[keyrange.Owner]bool
}

// rangeTransfer is the transfer in progress to one successor.
type rangeTransfer struct {
	id     uint64
	to     keyrange.Owner
	ranges []keyrange.ID
	// commit is retried unchanged until the map shows its result; at most one
	// copy can take effect.
	commit *oleandervalve.Transaction
}

func newMutationID() oleandervalve.MutationID {
	return oleandervalve.MutationID(strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16))
}

func (k *keyService) run() {
	defer k.agent.goroutines.Done()
	for {
		k.step()
		select {
		case <-k.agent.ctx.Done():
			return
		case <-k.wake:
		case <-k.agent.clock.After(keysInterval):
		}
	}
}

func (k *keyService) step() {
	ctx, cancel := context.WithTimeout(k.agent.ctx, keysTableTimeout)
	defer cancel()
	if k.store == nil && !k.startIncarnation(ctx) {
		k.mu.Lock()
		draining := k.draining
		k.mu.Unlock()
		if draining && !k.drainDone {
			k.finishDrain()
		}
		return
	}
	k.renewLease(ctx)
	k.readMap(ctx)
	k.mu.Lock()
	if k.lease.Lost() {
		k.agent.log.Warn("lease row of the idempotency keys was overwritten by another process; restarting without records")
		k.store, k.transfer = nil, nil
		k.mu.Unlock()
		k.signal()
		return
	}
	k.store.Tick(k.agent.clock.Now())
	n, _ := k.store.Usage()
	k.mu.Unlock()
	k.agent.scope.Gauge("key_records").Update(float64(n))
	k.transferRanges(ctx)
}

// startIncarnation creates a lease and an empty store for a new incarnation. The
// store of an earlier incarnation, whose lease was lost, permits nothing any more.
func (k *keyService) startIncarnation(ctx context.Context) bool {
	rows, err := k.table.Get(ctx, keyrange.LeaseKey(k.agent.id))
	if err != nil || len(rows) != 1 {
		k.agent.log.WithError(err).Warn("lease row of the idempotency keys can't be read; retrying")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = keyrange.NewLease(keyrange.Owner{Agent: k.agent.id, Incarnation: rand.Uint64()}, k.options.Lease, rows[0], k.agent.uptime)
	k.store = callerkey.NewRecordStore(k.agent.clock.Now(), k.lease, k.options.Limits)
	k.rangeMap = keyrange.Map{}
	// IDs increase within an incarnation; the random start keeps them apart
	// from those of other owners.
	k.lastTransferID = rand.Uint64() >> 1
	return true
}

func (k *keyService) renewLease(ctx context.Context) {
	k.mu.Lock()
	x, ok := k.lease.Renew(k.agent.clock.Now(), newMutationID())
	k.mu.Unlock()
	if !ok {
		return
	}
	c, err := k.table.Commit(ctx, x)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.HandleResult(x.ID, c, err)
}

func (k *keyService) readMap(ctx context.Context) {
	rows, err := k.table.Get(ctx, keyrange.MapKey, keyrange.LeaseKey(k.agent.id))
	if err != nil || len(rows) != 2 {
		return
	}
	m, err := keyrange.Decode(rows[0])
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Observe(rows[1])
	if err != nil {
		k.agent.log.WithError(err).Error("key range map can't be decoded")
		return
	}
	if m.Version() > k.rangeMap.Version() {
		k.rangeMap = m
		k.store.ApplyMap(k.agent.clock.Now(), m)
	}
}

// transferRanges transfers ranges to one successor at a time: all of them
// during a planned stop, otherwise those that the agent has in excess of others.
func (k *keyService) transferRanges(ctx context.Context) {
	for {
		k.mu.Lock()
		idle := k.transfer == nil
		owned := k.rangeMap.Ranges(k.lease.Owner())
		draining := k.draining
		k.mu.Unlock()
		switch {
		case draining && k.drainDone:
			return
		case draining && len(owned) == 0:
			k.finishDrain()
			return
		case !draining && idle && !k.shouldBalance(len(owned)):
			return
		}
		if idle && !k.beginTransfer(ctx) {
			return
		}
		if !k.advanceTransfer(ctx) {
			return
		}
	}
}

// shouldBalance reports whether it is time to compare the loads of the owners,
// which costs a read of all lease rows, and records the time if so.
func (k *keyService) shouldBalance(owned int) bool {
	now := k.agent.clock.Now()
	if owned == 0 || now.Sub(k.balancedAt) < balanceLeaseIntervals*k.options.Lease.RenewInterval {
		return false
	}
	k.balancedAt = now
	return true
}

func (k *keyService) finishDrain() {
	k.drainDone = true
	close(k.drained)
}

// beginTransfer chooses the next successor and freezes the ranges that are
// transferred to it.
func (k *keyService) beginTransfer(ctx context.Context) bool {
	page, err := k.table.Scan(ctx, keyrange.LeasePrefix, "", maxLeaseRows)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	self := k.lease.Owner()
	o := keyrange.Observation{Map: k.rangeMap, Leases: page.Rows, At: page.At, MaxOwners: k.options.MaxOwners}
	if k.draining {
		o.Draining = append(o.Draining, self)
		for owner := range k.failedSuccessors {
			o.Draining = append(o.Draining, owner)
		}
	}
	var t *rangeTransfer
	for _, x := range o.Next(newMutationID(), k.options.Lease).Transfers {
		if x.From != self {
			continue
		}
		if t == nil {
			k.lastTransferID++
			t = &rangeTransfer{id: k.lastTransferID, to: x.To}
		}
		if x.To == t.to {
			t.ranges = append(t.ranges, x.Range)
		}
	}
	if t == nil {
		if !k.draining {
			return false
		}
		if k.failedPlans++; len(k.failedSuccessors) > 0 || len(page.Rows) <= 1 || k.failedPlans > maxFailedPlans {
			k.agent.log.Warn("no other agent accepts the records of the idempotency keys; the keys become indeterminate")
			k.finishDrain()
		}
		return false
	}
	if err := k.store.BeginTransfer(k.agent.clock.Now(), t.id, t.to, t.ranges); err != nil {
		k.agent.log.WithError(err).Warn("key ranges can't be frozen for a transfer; retrying")
		return false
	}
	k.transfer = t
	return true
}

// advanceTransfer takes the next step of the transfer and reports whether the
// transfer has ended.
func (k *keyService) advanceTransfer(ctx context.Context) bool {
	k.mu.Lock()
	t := k.transfer
	s := k.store.AdvanceTransfer(k.agent.clock.Now(), t.id, k.rangeMap, newMutationID())
	if s.Commit != nil {
		t.commit = s.Commit
	}
	if s.Ended {
		for _, r := range t.ranges {
			if k.draining && k.rangeMap.Get(r).Owner == k.lease.Owner() {
				k.failedSuccessors[t.to] = true
			}
		}
		k.transfer = nil
	}
	commit := t.commit
	k.mu.Unlock()
	for _, e := range s.Send {
		k.agent.sendToAnyEntry(peer.NewKeyExport(e))
	}
	if s.Ended || commit == nil {
		return s.Ended
	}
	if _, err := k.table.Commit(ctx, *commit); err != nil {
		k.agent.log.WithError(err).Info("transfer of key ranges was not confirmed; reading the map")
	}
	k.readMap(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	newer := k.rangeMap.Version() > commit.Conditions[0].Version
	if newer {
		t.commit = nil
	}
	return newer
}

// signal makes run take its next step at once.
func (k *keyService) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// handleKeys handles a message about idempotency keys and returns false for
// any other message.
func (a *Agent) handleKeys(l *link, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.KeyBegin:
		s := callerkey.Reply{Entry: m.Entry, Request: m.Request, Status: callerkey.StatusNotOwner, Reason: callerkey.ReasonOwnerUnreachable, RetryAfter: keysInterval}
		a.keys.withStore(func(store *callerkey.RecordStore, now time.Time) { s = store.Begin(now, callerkey.Begin(*m)) })
		response := peer.KeyState(s)
		l.conn.TrySend(&response)
	case *peer.KeyFinish:
		s := callerkey.Reply{Entry: m.Entry, Request: m.Request, Status: callerkey.StatusNotOwner, Reason: callerkey.ReasonOwnerUnreachable, RetryAfter: keysInterval}
		a.keys.withStore(func(store *callerkey.RecordStore, now time.Time) { s = store.Finish(now, callerkey.Finish(*m)) })
		response := peer.KeyState(s)
		l.conn.TrySend(&response)
	case *peer.KeyExport:
		a.keys.importPart(l, m)
	case *peer.KeyImport:
		a.keys.withStore(func(store *callerkey.RecordStore, _ time.Time) { store.HandleExportAck(callerkey.ExportAck(*m)) })
		if a.keys != nil {
			a.keys.signal()
		}
	default:
		return false
	}
	return true
}

// withStore calls do with the lock held if the agent has a store.
func (k *keyService) withStore(do func(*callerkey.RecordStore, time.Time)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store != nil {
		do(k.store, k.agent.clock.Now())
	}
}

func (k *keyService) importPart(l *link, m *peer.KeyExport) {
	out := callerkey.ExportAck{
		Transfer: m.Transfer, FromAgent: m.FromAgent, FromIncarnation: m.FromIncarnation,
		ToAgent: m.ToAgent, ToIncarnation: m.ToIncarnation, Refused: callerkey.ReasonOwnerUnreachable,
	}
	k.withStore(func(store *callerkey.RecordStore, now time.Time) {
		// A stopping agent accepts no new transfer, because it would have to
		// transfer the records again. It still acknowledges a transfer whose
		// records it has, which may be committed.
		if !k.draining || m.Sequence > 0 || m.Abort {
			out = store.HandleExport(now, m.Export())
		}
	})
	response := peer.KeyImport(out)
	l.conn.TrySend(&response)
}

// sendToAnyEntry sends a message to one entry. Map iteration picks a random
// one, so that a retry may go through another entry.
func (a *Agent) sendToAnyEntry(m peer.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.conn.TrySend(m) {
			return
		}
	}
}

// KeyRanges returns the number of ranges of idempotency keys that the agent owns.
func (a *Agent) KeyRanges() int {
	n := 0
	a.keys.withStore(func(*callerkey.RecordStore, time.Time) { n = len(a.keys.rangeMap.Ranges(a.keys.lease.Owner())) })
	return n
}

// drainKeys transfers the records to other agents and reports whether the
// transfers ended in time.
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
