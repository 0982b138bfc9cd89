package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/handover"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

const (
	// dialTimeout is the timeout for the connection to the leading entry and for the
	// reply to the join message.
	dialTimeout = 700 * time.Millisecond
	// silentDialTimeout is that timeout after a connection to the same entry has fallen silent,
	// which is probably lost. The entry reads the leader's row between two attempts. After
	// maxShortDials attempts one has dialTimeout again: the leader may be healthy behind a full link.
	silentDialTimeout = 200 * time.Millisecond
	maxShortDials     = 2
	// pingInterval is the interval between pings to the leading entry.
	pingInterval = 500 * time.Millisecond
	// leaderLease is how long the leader's row must stay unchanged before an
	// unreachable leader is replaced. It covers two renewal intervals and a slow
	// commit.
	leaderLease = 1700 * time.Millisecond
	// takeoverTimeout is the timeout of an attempt to take over leadership. It allows
	// for a slow table.
	takeoverTimeout = 5 * time.Second
	// successorTimeout is how long an entry that was named as the next leader may take
	// to become it. successorRetryDelay is the pause between attempts to follow it,
	// without jitter.
	successorTimeout    = 1500 * time.Millisecond
	successorRetryDelay = 60 * time.Millisecond
)

// handoverCooldown is the time after a handover to a stronger entry during which an
// entry starts no term that may be handed over again. If it has to lead again that
// soon, the stronger entry could not take over.
const handoverCooldown = 10 * time.Second

// errNotLeading means that the contacted entry isn't running or doesn't lead.
var errNotLeading = errors.New("the entry does not lead: read the leader's row again")

// rowObservation records when a version of the leader's row was first read.
type rowObservation struct {
	version oleandervalve.Version
	since   time.Time
}

// followLeader stays connected to the leading entry, or takes over leadership if there
// is none, until the context ends.
func (g *Gateway) followLeader(ctx context.Context) {
	var observed rowObservation
	hint, silent := "", "" // addresses of the next leader, and of one that has fallen silent
	shortDials := 0
	var hintedAt time.Time
	for ctx.Err() == nil {
		if hint != "" && hint != g.options.Address {
			next, err := g.follow(ctx, hint, dialTimeout)
			silent, shortDials = silentAddress(hint, err), 0
			now := g.options.Clock.Now()
			switch {
			case g.isTakeoverRequested(now):
				// The successor has asked this entry in turn.
			case next != "" && next != hint:
				hint, hintedAt = next, now
				continue
			case errors.Is(err, errNotLeading) && now.Sub(hintedAt) < successorTimeout:
				// A leader that has stepped down names its successor before that
				// entry has taken over.
				g.pause(ctx, jitter(successorRetryDelay))
				continue
			}
			hint = ""
		}
		readAt := g.options.Clock.Now()
		stored, tableTime, err := g.readLeaderRow(ctx)
		if err != nil {
			g.options.Log.WithError(err).Warn("the leader's row can't be read; retrying")
			hint, hintedAt = g.fallbackAddress(), time.Time{}
			g.pause(ctx, jitter(tableRetryDelay))
			continue
		}
		now := g.options.Clock.Now()
		if stored.Version != observed.version || observed.since.IsZero() {
			observed = rowObservation{stored.Version, now}
		}
		row, err := leader.DecodeRow(stored)
		if err != nil {
			g.options.Log.WithError(err).Warn("the leader's row can't be decoded")
		}
		vacant := row.Entry == "" || row.Released || row.Entry == g.options.ID || now.Sub(observed.since) >= leaderLease ||
			isStale(row.Age(tableTime), now.Sub(readAt))
		vacant = vacant || g.isTakeoverRequested(now)
		if !vacant {
			timeout := dialTimeout
			if row.Address == silent && shortDials < maxShortDials {
				timeout = silentDialTimeout
				shortDials++
			} else {
				shortDials = 0
			}
			next, err := g.follow(ctx, row.Address, timeout)
			silent = silentAddress(row.Address, err)
			switch {
			case next == g.options.Address:
				vacant = true
			case next != "":
				hint, hintedAt = next, g.options.Clock.Now()
				continue
			case errors.Is(err, errNotLeading):
				vacant = true
			}
		}
		if !vacant {
			g.pause(ctx, jitter(tableRetryDelay))
			continue
		}
		lost := row.CPUShare
		if row.Released || row.Entry == g.options.ID || g.isTakeoverRequested(now) {
			lost = 0
		}
		g.pause(ctx, jitter(handover.TakeoverDelay(g.options.CPUShare, lost)))
		hint, hintedAt = g.lead(ctx, stored), g.options.Clock.Now()
	}
}

// silentAddress returns the address of an entry to which a connection, or the attempt at one, has
// ended with an error because the entry was silent, and otherwise "".
func silentAddress(address string, err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return address
	}
	return ""
}

// isStale reports whether a leader's row of the given age shows that its leader no longer
// renews it. A read that took long shows that renewals take long as well.
func isStale(age, readTook time.Duration) bool {
	return age >= leaderLease+slowReadFactor*readTook
}

// slowReadFactor is by how many durations of a read the age of a row may exceed leaderLease.
const slowReadFactor = 3

// readLeaderRow reads the leader's row and the time by the clock of the table, which is zero
// if the table doesn't tell it.
func (g *Gateway) readLeaderRow(ctx context.Context) (oleandervalve.Row, time.Time, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := g.options.Clock.Now()
	page, err := g.options.Table.Scan(callCtx, leader.Key, "", 1)
	if err != nil {
		return oleandervalve.Row{}, time.Time{}, err
	}
	g.recordTableSuccess(started)
	g.mu.Lock()
	g.rowReadAt = started
	g.mu.Unlock()
	for _, r := range page.Rows {
		if r.Key == leader.Key {
			return r, page.At, nil
		}
	}
	return oleandervalve.Row{Key: leader.Key}, page.At, nil
}

// fallbackAddress returns the address of another entry that may lead or know the
// leader, for use while the table is unreachable; "" if there is none.
func (g *Gateway) fallbackAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderAddress != "" && g.leaderAddress != g.options.Address {
		return g.leaderAddress
	}
	for _, s := range g.options.Seeds {
		if s != g.options.Address {
			return s
		}
	}
	return ""
}

// lead tries to take over leadership by replacing the given leader's row, and leads
// until leadership is lost. It returns the address of the next leader, or "" if that
// is unknown.
func (g *Gateway) lead(ctx context.Context, current oleandervalve.Row) string {
	done := make(chan struct{})
	g.mu.Lock()
	if g.stopping {
		g.mu.Unlock()
		g.pause(ctx, tableRetryDelay)
		return ""
	}
	g.takeoverDone = done
	// The attempt fulfils the request. If the request stayed, it would depose a healthy
	// leader as soon as this entry follows one.
	g.takeoverRequestedAt = time.Time{}
	disableHandover := g.options.Clock.Now().Sub(g.handedOverAt) < handoverCooldown
	g.mu.Unlock()
	defer g.finishTakeover(done)
	callCtx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	l, err := leader.Acquire(callCtx, leader.Options{
		Table: g.options.Table, Clock: g.options.Clock, Uptime: g.options.Uptime, Log: g.options.Log, Scope: g.options.Scope,
		CPUShare: g.options.CPUShare, Memory: g.options.Memory, Link: g.options.Link, DisableHandover: disableHandover, Permits: g.options.Permits, Retention: g.options.Retention, EarlyStart: g.options.EarlyStart, MaxRow: g.options.MaxRow, MaxLease: g.options.MaxLease, CancelDelay: g.options.CancelDelay, EvacuationDelay: g.options.EvacuationDelay, EvacuationPrefix: g.options.EvacuationPrefix, MoveInterval: g.options.MoveInterval, Revision: g.Revision, Services: g.services,
	}, current, leader.Row{Entry: g.options.ID, Address: g.options.Address, Process: g.options.Process, CPUShare: g.options.CPUShare})
	cancel()
	if err != nil {
		g.options.Log.WithError(err).Info("takeover of leadership failed")
		return ""
	}
	g.options.Log.WithFields(logrus.Fields{"term": l.Term(), "rowVersion": current.Version}).Info("leadership taken")
	g.mu.Lock()
	g.ownTerm, g.leaderAddress = l, g.options.Address
	g.mu.Unlock()
	g.finishTakeover(done)
	go func() {
		<-l.Ready()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.ownTerm == l {
			g.setUpstream(l)
		}
	}()
	err = l.Run(ctx)
	g.mu.Lock()
	g.ownTerm, g.leaderAddress = nil, ""
	g.setUpstream(nil)
	if errors.Is(err, leader.ErrHandedOver) {
		g.handedOverAt = g.options.Clock.Now()
	}
	g.mu.Unlock()
	g.options.Log.WithField("term", l.Term()).WithError(err).Warn("leadership ended")
	if errors.Is(err, leader.ErrResigned) {
		g.pause(ctx, leaderLease/2)
	}
	return l.Successor()
}

// requestTakeover records that a leader asks this entry to take over.
func (g *Gateway) requestTakeover() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeoverRequestedAt = g.options.Clock.Now()
}

// isTakeoverRequested reports whether a leader has asked this entry within successorTimeout
// to take over, and the entry has not tried yet.
func (g *Gateway) isTakeoverRequested(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.takeoverRequestedAt.IsZero() && now.Sub(g.takeoverRequestedAt) < successorTimeout
}

// finishTakeover releases the incoming connections that wait for the result of a
// takeover.
func (g *Gateway) finishTakeover(c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.takeoverDone == c {
		g.takeoverDone = nil
		close(c)
	}
}

// leaderConnection is the connection to the leading entry. It forwards requests and
// matches replies to them by id; pending is nil once the connection is closed.
type leaderConnection struct {
	conn *peer.Conn
	// pingDue requests a ping ahead of its time.
	pingDue chan struct{}
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]func(peer.JobReply)
}

// Call forwards a request. If the connection ends before the reply, answer gets an
// unknown outcome.
func (u *leaderConnection) Call(m peer.JobCall, answer func(peer.JobReply)) {
	u.mu.Lock()
	if u.pending == nil {
		u.mu.Unlock()
		answer(peer.JobReply{Verdict: dispatch.NotRun, Reason: reasonNoLeader, RetryAfter: noLeaderRetryAfter})
		return
	}
	u.lastID++
	m.ID = u.lastID
	u.pending[m.ID] = answer
	u.mu.Unlock()
	if !u.conn.TrySend(&m) {
		u.deliverReply(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: reasonNoLeader, RetryAfter: noLeaderRetryAfter})
	}
}

// deliverReply passes a reply to the caller of its request, if that still waits.
func (u *leaderConnection) deliverReply(r peer.JobReply) {
	u.mu.Lock()
	f := u.pending[r.ID]
	delete(u.pending, r.ID)
	u.mu.Unlock()
	if f != nil {
		f(r)
	}
}

// close closes the connection and answers all pending requests with an unknown
// outcome.
func (u *leaderConnection) close() {
	u.conn.Close()
	u.mu.Lock()
	pending := u.pending
	u.pending = nil
	u.mu.Unlock()
	for _, f := range pending {
		f(peer.JobReply{Verdict: dispatch.Unknown})
	}
}

// follow connects to an entry that should lead and forwards requests to it until the connection
// ends. The timeout is for the connection and the admission. It returns the next address to try, or
// "" if that is unknown.
func (g *Gateway) follow(ctx context.Context, address string, timeout time.Duration) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := peer.DialDispatch(callCtx, address, peer.Join{Entry: g.options.ID, Address: g.options.Address, CPUShare: g.options.CPUShare, Link: g.options.Link}, g.meter)
	if err != nil {
		if isConnectionRefused(err) {
			return "", errNotLeading
		}
		return "", err
	}
	u := &leaderConnection{conn: c, pingDue: make(chan struct{}, 1), pending: map[uint64]func(peer.JobReply){}}
	defer u.close()
	m, err := c.Receive(callCtx)
	if err != nil {
		return "", err
	}
	if r, ok := m.(*peer.Redirect); ok {
		if r.Leader == address || r.Leader == "" {
			return "", errNotLeading
		}
		return r.Leader, errNotLeading
	}
	if _, ok := m.(*peer.Admit); !ok {
		return "", &peer.FrameError{Detail: "admission expected, got " + string(m.Type())}
	}
	g.mu.Lock()
	g.leaderAddress = address
	g.setUpstream(u)
	g.mu.Unlock()
	g.options.Log.WithField("leader", address).Info("following")
	next, err := g.receiveLoop(ctx, u)
	g.mu.Lock()
	g.setUpstream(nil)
	g.mu.Unlock()
	g.options.Log.WithField("leader", address).WithError(err).Warn("connection to the leader ended")
	return next, err
}

// receiveLoop sends pings to the leader and handles its messages until the connection
// ends or the leader steps down. It returns the address of the next leader, or "".
func (g *Gateway) receiveLoop(ctx context.Context, u *leaderConnection) (string, error) {
	done := make(chan struct{})
	defer close(done)
	go g.pingLoop(u, done)
	checks := make(chan struct{}, 1)
	var checkedAt time.Time
	go func() {
		select {
		case <-ctx.Done():
			u.conn.Close()
		case <-done:
		}
	}()
	for {
		callCtx, cancel := context.WithTimeout(ctx, leader.EntryHeartbeatTimeout)
		m, err := u.conn.Receive(callCtx)
		cancel()
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *peer.JobReply:
			u.deliverReply(*m)
		case *peer.Pong:
			if now := g.options.Clock.Now(); m.ProofAge > failingProofAge && now.Sub(checkedAt) >= checkInterval {
				checkedAt = now
				g.checkTable(ctx, u, checks)
			}
		case *peer.Redirect:
			if m.TakeOver {
				g.options.Log.Info("the leader asks this entry to take over")
				g.requestTakeover()
				return "", errNotLeading
			}
			return m.Leader, errNotLeading
		default:
			g.options.Log.WithField("type", m.Type()).Warn("unexpected message ignored")
		}
	}
}

// failingProofAge is the age of the leader's proof above which its commits are taken to fail: it
// renews its row every leader.RenewInterval.
const failingProofAge = leader.RenewInterval + 200*time.Millisecond

// checkInterval is the minimum time between two checks of the table on one connection. Each check causes
// a ping, whose answer may cause the next one.
const checkInterval = 400 * time.Millisecond

// checkTable reads the leader's row and reports to the leader at once that the table was reached.
// A leader that can't reach the table chooses its successor by these reports: in normal operation
// entries don't read the row. The channel limits the checks to one at a time.
func (g *Gateway) checkTable(ctx context.Context, u *leaderConnection, checks chan struct{}) {
	select {
	case checks <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-checks }()
		if _, _, err := g.readLeaderRow(ctx); err != nil {
			return
		}
		select {
		case u.pingDue <- struct{}{}:
		default:
		}
	}()
}

// pingLoop sends pings until done is closed. They report how long ago this entry last
// reached the table.
func (g *Gateway) pingLoop(u *leaderConnection, done <-chan struct{}) {
	t := g.options.Clock.NewTicker(pingInterval)
	defer t.Stop()
	for n := uint64(1); ; n++ {
		g.mu.Lock()
		p := &peer.Ping{Sequence: n, TableAge: g.options.Clock.Since(g.tableReachedAt), ReadAge: g.options.Clock.Since(g.rowReadAt)}
		g.mu.Unlock()
		u.conn.TrySend(p)
		select {
		case <-done:
			return
		case <-t.Chan():
		case <-u.pingDue:
		}
	}
}
