package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

const (
	// dialTimeout bounds the opening of a connection to the leading entry.
	dialTimeout = 700 * time.Millisecond
	// pingEvery is the period of signs of life to the leading entry.
	pingEvery = 500 * time.Millisecond
	// leaseTime is how long the leader's row must stay unchanged before an
	// unreachable leader is replaced: two periods of its renewal and a slow commit.
	leaseTime = 1700 * time.Millisecond
	// firstTake is the pause before an attempt to lead of an entry with a whole
	// processor; it grows with a smaller share, so that a strong entry leads and
	// attempts rarely collide.
	firstTake = 20 * time.Millisecond
	// leastShare bounds the pause of weak entries.
	leastShare = 0.1
	// takeTimeout bounds an attempt to lead, also with a slow table.
	takeTimeout = 5 * time.Second
	// successorTime is how long a named successor may take, and successorRetry the
	// pause between attempts to follow it.
	successorTime  = 1500 * time.Millisecond
	successorRetry = 60 * time.Millisecond
)

// handOverPause is how long an entry keeps leadership that came back after it
// had handed it to a stronger entry, which then could not take it.
const handOverPause = 10 * time.Second

// errNotLeading reports an entry that does not lead.
var errNotLeading = errors.New("the entry does not lead: read the leader's row again")

// sighting is when a version of the leader's row was first seen.
type sighting struct {
	version oleandervalve.Version
	at      time.Time
}

// followLeader connects to the leading entry, or leads if there is none.
func (g *Gateway) followLeader(ctx context.Context) {
	var seen sighting
	hint := ""
	var hintedAt time.Time
	for ctx.Err() == nil {
		if hint != "" && hint != g.options.Address {
			next, err := g.follow(ctx, hint)
			now := g.options.Clock.Now()
			switch {
			case next != "" && next != hint:
				hint, hintedAt = next, now
				continue
			case errors.Is(err, errNotLeading) && now.Sub(hintedAt) < successorTime:
				// The successor of a leader that has stepped down gets time to take over.
				g.pause(ctx, jitter(successorRetry))
				continue
			}
			hint = ""
		}
		rows, err := g.readLeader(ctx)
		if err != nil {
			g.options.Log.WithError(err).Warn("the leader's row can't be read; retrying")
			hint, hintedAt = g.nextSeed(), time.Time{}
			g.pause(ctx, jitter(tableRetry))
			continue
		}
		now := g.options.Clock.Now()
		if rows.Version != seen.version || seen.at.IsZero() {
			seen = sighting{rows.Version, now}
		}
		row, err := leader.DecodeRow(rows)
		if err != nil {
			g.options.Log.WithError(err).Warn("the leader's row is unreadable")
		}
		vacant := row.Entry == "" || row.Released || row.Entry == g.options.ID || now.Sub(seen.at) >= leaseTime
		select {
		case <-g.takeOver:
			vacant = true
		default:
		}
		if !vacant {
			next, err := g.follow(ctx, row.Address)
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
			g.pause(ctx, jitter(tableRetry))
			continue
		}
		g.pause(ctx, jitter(time.Duration(float64(firstTake)/max(leastShare, g.options.CPUShare))))
		hint, hintedAt = g.lead(ctx, rows), g.options.Clock.Now()
	}
}

func (g *Gateway) readLeader(ctx context.Context) (oleandervalve.Row, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := g.options.Table.Get(call, leader.Key)
	if err != nil {
		return oleandervalve.Row{}, err
	}
	g.tableReached()
	return rows[0], nil
}

// nextSeed returns an address that may know the leader while the table is away.
func (g *Gateway) nextSeed() string {
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

// lead takes leadership over from the given row and leads until it is lost; it
// returns the address of the entry that leads next, if that is known.
func (g *Gateway) lead(ctx context.Context, current oleandervalve.Row) string {
	g.mu.Lock()
	stopping := g.stopping
	g.mu.Unlock()
	if stopping {
		g.pause(ctx, tableRetry)
		return ""
	}
	taken := make(chan struct{})
	g.mu.Lock()
	g.taking = taken
	keep := g.options.Clock.Now().Sub(g.handedAt) < handOverPause
	g.mu.Unlock()
	defer g.taken(taken)
	call, cancel := context.WithTimeout(ctx, takeTimeout)
	l, err := leader.Acquire(call, leader.Options{
		Table: g.options.Table, Clock: g.options.Clock, Log: g.options.Log, Scope: g.options.Scope,
		CPUShare: g.options.CPUShare, DisableHandover: keep, Permits: g.options.Permits, Retention: g.options.Retention, EarlyStart: g.options.EarlyStart, Revision: g.Revision,
	}, current, leader.Row{Entry: g.options.ID, Address: g.options.Address, Process: g.options.Process})
	cancel()
	if err != nil {
		g.options.Log.WithError(err).Info("leadership not taken")
		return ""
	}
	g.options.Log.WithFields(logrus.Fields{"term": l.Term(), "rowVersion": current.Version}).Info("leadership taken")
	g.mu.Lock()
	g.leading, g.leaderAddress = l, g.options.Address
	g.mu.Unlock()
	g.taken(taken)
	go func() {
		<-l.Ready()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.leading == l {
			g.setUpstream(l)
		}
	}()
	err = l.Run(ctx)
	g.mu.Lock()
	g.leading, g.leaderAddress = nil, ""
	g.setUpstream(nil)
	if errors.Is(err, leader.ErrHandedOver) {
		g.handedAt = g.options.Clock.Now()
	}
	g.mu.Unlock()
	g.options.Log.WithField("term", l.Term()).WithError(err).Warn("leadership ended")
	if errors.Is(err, leader.ErrResigned) {
		g.pause(ctx, leaseTime/2)
	}
	return l.Successor()
}

// taken ends the time in which connections wait for the result of a takeover.
func (g *Gateway) taken(c chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taking == c {
		g.taking = nil
		close(c)
	}
}

// uplink is the connection to the leading entry.
type uplink struct {
	conn *peer.Conn
	mu   sync.Mutex
	next uint64
	open map[uint64]func(peer.JobReply)
}

// Call passes a request on; a lost connection answers it with an unknown outcome.
func (u *uplink) Call(m peer.JobCall, answer func(peer.JobReply)) {
	u.mu.Lock()
	if u.open == nil {
		u.mu.Unlock()
		answer(peer.JobReply{Verdict: dispatch.NotRun, Reason: reasonNoLeader, RetryAfter: noLeaderRetry})
		return
	}
	u.next++
	m.ID = u.next
	u.open[m.ID] = answer
	u.mu.Unlock()
	if !u.conn.TrySend(&m) {
		u.answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: reasonNoLeader, RetryAfter: noLeaderRetry})
	}
}

func (u *uplink) answer(r peer.JobReply) {
	u.mu.Lock()
	f := u.open[r.ID]
	delete(u.open, r.ID)
	u.mu.Unlock()
	if f != nil {
		f(r)
	}
}

func (u *uplink) close() {
	u.conn.Close()
	u.mu.Lock()
	open := u.open
	u.open = nil
	u.mu.Unlock()
	for _, f := range open {
		f(peer.JobReply{Verdict: dispatch.Unknown})
	}
}

// follow connects to an entry and passes requests to it until the connection
// ends; it returns the next address to try, if that is known.
func (g *Gateway) follow(ctx context.Context, address string) (string, error) {
	call, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := peer.DialDispatch(call, address, peer.Join{Entry: g.options.ID, Address: g.options.Address, CPUShare: g.options.CPUShare})
	if err != nil {
		if isRefused(err) {
			return "", errNotLeading
		}
		return "", err
	}
	u := &uplink{conn: c, open: map[uint64]func(peer.JobReply){}}
	defer u.close()
	m, err := c.Receive(call)
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
	next, err := g.exchange(ctx, u)
	g.mu.Lock()
	g.setUpstream(nil)
	g.mu.Unlock()
	g.options.Log.WithField("leader", address).WithError(err).Warn("connection to the leader ended")
	return next, err
}

func (g *Gateway) exchange(ctx context.Context, u *uplink) (string, error) {
	done := make(chan struct{})
	defer close(done)
	go g.ping(u, done)
	go func() {
		select {
		case <-ctx.Done():
			u.conn.Close()
		case <-done:
		}
	}()
	for {
		call, cancel := context.WithTimeout(ctx, leader.EntryHeartbeatTimeout)
		m, err := u.conn.Receive(call)
		cancel()
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *peer.JobReply:
			u.answer(*m)
		case *peer.Pong:
		case *peer.Redirect:
			if m.TakeOver {
				g.options.Log.Info("asked to take leadership over")
				select {
				case g.takeOver <- struct{}{}:
				default:
				}
				return "", errNotLeading
			}
			return m.Leader, errNotLeading
		default:
			g.options.Log.WithField("type", m.Type()).Warn("unexpected message is left out")
		}
	}
}

func (g *Gateway) ping(u *uplink, done <-chan struct{}) {
	t := g.options.Clock.NewTicker(pingEvery)
	defer t.Stop()
	for n := uint64(1); ; n++ {
		g.mu.Lock()
		age := g.options.Clock.Since(g.tableAt)
		g.mu.Unlock()
		u.conn.TrySend(&peer.Ping{Sequence: n, TableAge: age})
		select {
		case <-done:
			return
		case <-t.Chan():
		}
	}
}
