package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/work"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

// Table is the table service with its feed.
type Table interface {
	oleandervalve.Table
	oleandervalve.Feed
}

// Options describe an entry.
type Options struct {
	ID oleandervalve.EntryID
	// Process differs for each start of the process.
	Process string
	// Address is where agents and other entries connect.
	Address string
	Seeds   []string
	// CPUShare is the share of a processor that the entry has.
	CPUShare float64
	Table    Table
	Clock    oleandervalve.Clock
	Log      *logrus.Entry
	Scope    tally.Scope
	// ConfigurationKey and Decode read the operators' configuration.
	ConfigurationKey oleandervalve.Key
	Decode           func(oleandervalve.Row) (work.Configuration, error)
	// Permits decides which executors may run a step; nil without such a service.
	Permits    oleandervalve.PermitService
	Retention  time.Duration
	EarlyStart time.Duration
}

// Gateway is one entry process.
type Gateway struct {
	options Options

	mu            sync.Mutex
	configuration *work.Configuration
	// upstream carries requests to the leading entry; nil without one.
	upstream upstream
	// connected is closed when the next upstream is set.
	connected chan struct{}
	// handedAt is when leadership was last handed to a stronger entry.
	handedAt time.Time
	leading  *leader.Leader
	// leaderAddress is the last known address of the leading entry.
	leaderAddress string
	// tableAt is the time of the last successful call to the table.
	tableAt time.Time
	// taking is closed when an attempt to lead has its result; nil without one.
	taking   chan struct{}
	stopping bool
	// takeOver asks the leadership loop to take over at once.
	takeOver chan struct{}
}

// upstream passes requests about jobs to the leading entry.
type upstream interface {
	Call(m peer.JobCall, answer func(peer.JobReply))
}

// New returns an entry; Run starts it.
func New(o Options) *Gateway {
	return &Gateway{options: o, takeOver: make(chan struct{}, 1), connected: make(chan struct{})}
}

// Run follows configuration and leadership until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Add(2)
	go func() { defer w.Done(); g.followConfiguration(ctx) }()
	go func() { defer w.Done(); g.followLeader(ctx) }()
	w.Wait()
}

// Handler accepts connections of agents and other entries.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, j, err := peer.AcceptDispatch(w, r)
		if err != nil {
			g.options.Log.WithError(err).Warn("connection is refused")
			return
		}
		g.mu.Lock()
		taking := g.taking
		g.mu.Unlock()
		if taking != nil {
			<-taking
		}
		g.mu.Lock()
		l, address := g.leading, g.leaderAddress
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

// Stop makes the entry not ready and hands leadership over.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	l := g.leading
	g.mu.Unlock()
	if l != nil {
		l.Release(ctx)
	}
}

func (g *Gateway) tableReached() {
	g.mu.Lock()
	g.tableAt = g.options.Clock.Now()
	g.mu.Unlock()
}

// setUpstream sets the connection to the leading entry, or nil; the lock is held.
func (g *Gateway) setUpstream(u upstream) {
	g.upstream = u
	if u != nil {
		close(g.connected)
		g.connected = make(chan struct{})
	}
}

// pause waits, at most until the context ends.
func (g *Gateway) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.options.Clock.After(d):
	}
}
