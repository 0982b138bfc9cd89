package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/evacuation"
	"oleandervalve/core/startorder"
	"oleandervalve/core/work"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

// Table is the table service with its feed of changes.
type Table interface {
	oleandervalve.Table
	oleandervalve.Feed
}

// Options configure an entry.
type Options struct {
	ID oleandervalve.EntryID
	// Process identifies one start of the process.
	Process string
	// Address is the address at which agents and other entries connect to this entry.
	Address string
	// Seeds are addresses of entries to try when the leader's row can't be read.
	Seeds []string
	// CPUShare is the entry's processor share, in processors.
	CPUShare float64
	// Memory is the memory of the instance; 0 means that it is unknown.
	Memory oleandervalve.Bytes
	// Link is the rate of the entry's link; 0 means that it is unknown.
	Link  oleandervalve.BitsPerSecond
	Table Table
	Clock oleandervalve.Clock
	// Uptime may be nil if the instance is never suspended.
	Uptime oleandervalve.Uptime
	Log    *logrus.Entry
	Scope  tally.Scope
	// ConfigurationKey is the key of the row with the operators' configuration; Decode
	// decodes the row.
	ConfigurationKey oleandervalve.Key
	Decode           func(oleandervalve.Row) (work.Configuration, error)
	// Permits decides which executors may run a step. It is nil if there is no such
	// service.
	Permits    oleandervalve.PermitService
	Retention  time.Duration
	EarlyStart time.Duration
	// MaxRow is the size of the largest row that the table accepts; 0 means 64 KiB.
	MaxRow oleandervalve.Bytes
	// MaxLease is the longest lease that executors grant; 0 means that they grant what is requested.
	MaxLease time.Duration
	// CancelDelay is how long after the acknowledgement of a cancellation tasks of the job may still
	// start.
	CancelDelay time.Duration
	// EvacuationDelay is how long after the acknowledgement of an evacuation tasks may still start in
	// the data centre; 0 if there are no evacuations. The other two fields are used only with them:
	// OperatorsPrefix is the prefix of the keys of all rows of the operators, the configuration
	// included, and EvacuationPrefix that of those which request an evacuation.
	EvacuationDelay                   time.Duration
	OperatorsPrefix, EvacuationPrefix oleandervalve.Key
	// MoveInterval is how long all other tasks of a long-running step must have been running before a
	// task may be moved out of an evacuated data centre.
	MoveInterval time.Duration
}

// delays returns how long after requests tasks may still start.
func (o Options) delays() startorder.Delays {
	return startorder.Delays{Cancel: o.CancelDelay, Evacuation: o.EvacuationDelay}
}

// Gateway is one entry process.
type Gateway struct {
	options Options
	// meter counts the bytes of messages of all connections.
	meter *peer.Meter

	mu            sync.Mutex
	configuration *work.Configuration
	// upstream forwards requests to the leading entry. It is nil while none is
	// connected.
	upstream upstream
	// upstreamSet is closed and replaced when a non-nil upstream is set.
	upstreamSet chan struct{}
	// evacuation is what is known of the evacuated data centres.
	evacuation evacuation.View
	// handedOverAt is the time of the last handover to a stronger entry.
	handedOverAt time.Time
	// ownTerm is the term that this entry leads, or nil.
	ownTerm *leader.Leader
	// leaderAddress is the last known address of the leading entry, or "".
	leaderAddress string
	// tableReachedAt is when the last call to the table was sent that has succeeded.
	tableReachedAt time.Time
	// rowReadAt is when the last successful read of the leader's row was sent.
	rowReadAt time.Time
	// takeoverDone is closed when the running takeover has its result. It is nil while
	// there is no takeover.
	takeoverDone chan struct{}
	stopping     bool
	// takeoverRequestedAt is when a leader last asked this entry to take over; zero if none
	// did since the last attempt.
	takeoverRequestedAt time.Time
}

// upstream forwards requests about jobs to the leading entry, which may be this one.
type upstream interface {
	Call(m peer.JobCall, answer func(peer.JobReply))
}

// New returns an entry. Run must be called to start it.
func New(o Options) *Gateway {
	return &Gateway{options: o, meter: peer.NewMeter(o.Scope), upstreamSet: make(chan struct{})}
}

// Run follows the configuration and the leader until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Add(2)
	go func() { defer w.Done(); g.followConfiguration(ctx) }()
	go func() { defer w.Done(); g.followLeader(ctx) }()
	w.Wait()
}

// Handler returns the handler for connections from agents and other entries. If this
// entry doesn't lead, the handler redirects them to the leader.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, j, err := peer.AcceptDispatch(w, r, g.meter)
		if err != nil {
			g.options.Log.WithError(err).Warn("incoming connection rejected")
			return
		}
		g.mu.Lock()
		taking := g.takeoverDone
		g.mu.Unlock()
		if taking != nil {
			<-taking
		}
		g.mu.Lock()
		l, address := g.ownTerm, g.leaderAddress
		if address == g.options.Address {
			address = ""
		}
		g.mu.Unlock()
		if l == nil {
			c.TrySend(&peer.Redirect{Leader: address})
			c.Shutdown()
			return
		}
		l.Serve(c, j)
	})
}

// Stop prepares a planned stop. It makes the entry report that it is not ready, and
// gives up leadership if the entry leads or is taking over.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	taking := g.takeoverDone
	g.mu.Unlock()
	if taking != nil {
		select {
		case <-taking:
		case <-ctx.Done():
		}
	}
	g.mu.Lock()
	l := g.ownTerm
	g.mu.Unlock()
	if l != nil {
		l.Release(ctx)
	}
}

// recordTableSuccess records that a call to the table has succeeded that was sent at the given time.
// The time of the answer would say less: the table may answer a Watch that it has held although it
// refuses new calls.
func (g *Gateway) recordTableSuccess(sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sent.After(g.tableReachedAt) {
		g.tableReachedAt = sent
	}
}

// setUpstream sets the upstream, which is nil if no leading entry is connected. The
// lock must be held.
func (g *Gateway) setUpstream(u upstream) {
	g.upstream = u
	if u != nil {
		close(g.upstreamSet)
		g.upstreamSet = make(chan struct{})
	}
}

// pause waits for a duration or until the context ends.
func (g *Gateway) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.options.Clock.After(d):
	}
}
