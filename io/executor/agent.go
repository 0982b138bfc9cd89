package executor

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/pacing"
)

// Options describe an agent.
type Options struct {
	ID    oleandervalve.AgentID
	Seeds []string
	// Leader reads the address of the leading entry from the table.
	Leader   func(context.Context) (string, error)
	Executor oleandervalve.ExecutorClient
	Clock    oleandervalve.Clock
	Log      *logrus.Entry
	Scope    tally.Scope
	// Lease is the longest lease that the executor grants.
	Lease time.Duration
	// Pacing bounds how long latency-critical tasks are over their targets.
	Pacing pacing.Limits
	// ProofLifetime is how long after a proof of leadership the lease may be extended.
	ProofLifetime time.Duration
}

// longestLease keeps work alive while an agent restarts, and lets the work of a
// dead executor move on within ten seconds.
const longestLease = 6 * time.Second

// Agent is the process co-located with one executor.
type Agent struct {
	options Options
	lease   time.Duration

	mu      sync.Mutex
	status  oleandervalve.ExecutorStatus
	known   bool
	gone    bool
	session *session
	// announced wakes the main loop after a new announcement.
	announced chan struct{}
	entries   []string
	// paces holds the speed limits of best-effort runs at the end of the last session.
	paces *paceMemory
	// drainingSince is when the executor first announced that it drains.
	drainingSince time.Time
}

// New returns an agent; Run starts it.
func New(o Options) *Agent {
	return &Agent{options: o, lease: min(o.Lease, longestLease), announced: make(chan struct{}, 1)}
}

// Announced takes the status that the executor announces.
func (a *Agent) Announced(s oleandervalve.ExecutorStatus) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		old := a.status
		if s.Incarnation.Born < old.Incarnation.Born ||
			s.Incarnation == old.Incarnation && s.Sequence < old.Sequence {
			a.options.Log.WithFields(logrus.Fields{"executor": s.Incarnation.ID, "sequence": s.Sequence, "newest": old.Sequence}).Info("late announcement is left out")
			return nil
		}
		if s.Incarnation == old.Incarnation && old.State == oleandervalve.ExecutorDraining && s.State == oleandervalve.ExecutorReady {
			s.State = oleandervalve.ExecutorDraining
		}
	}
	fresh := !a.known || a.status.Incarnation != s.Incarnation
	changed := fresh || a.status.State != s.State || a.status.Capacity != s.Capacity
	a.status, a.known = s, true
	if fresh {
		a.gone = false
		a.drainingSince = time.Time{}
	}
	if s.State == oleandervalve.ExecutorDraining && a.drainingSince.IsZero() {
		a.drainingSince = a.options.Clock.Now()
	}
	if changed {
		a.options.Log.WithFields(logrus.Fields{"executor": s.Incarnation.ID, "born": s.Incarnation.Born, "state": s.State, "sequence": s.Sequence}).Info("executor announced")
	}
	switch {
	case a.session == nil:
		a.wake()
	case fresh:
		a.session.end("executor has a new incarnation")
	case changed:
		a.session.statusChanged(s)
	}
	return nil
}

// Left takes the executor's last word.
func (a *Agent) Left(e oleandervalve.ExecutorID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known || a.status.Incarnation.ID != e {
		return
	}
	a.options.Log.WithField("executor", e).Info("executor has left")
	a.gone = true
	if a.session != nil {
		a.session.lost()
	}
}

func (a *Agent) wake() {
	select {
	case a.announced <- struct{}{}:
	default:
	}
}

// Run keeps a session with the leading entry until the context ends.
func (a *Agent) Run(ctx context.Context) {
	hint := ""
	for ctx.Err() == nil {
		a.mu.Lock()
		ready := a.known && !a.gone
		a.mu.Unlock()
		if !ready {
			select {
			case <-ctx.Done():
				return
			case <-a.announced:
			}
			continue
		}
		if hint == "" {
			hint = a.findLeader(ctx)
		}
		next, err := a.runSession(ctx, hint)
		if err != nil && ctx.Err() == nil {
			a.options.Log.WithField("entry", hint).WithError(err).Info("session ended")
		}
		if next == "" || next == hint {
			a.pause(ctx)
		}
		hint = next
	}
}

// retryPause is the pause between attempts at a session, an order or a look.
const retryPause = 100 * time.Millisecond

func (a *Agent) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.options.Clock.After(retryPause):
	}
}

// leaderTimeout bounds the reading of the leader's address from the table.
const leaderTimeout = 500 * time.Millisecond

// findLeader asks the table, then the known entries in turn.
func (a *Agent) findLeader(ctx context.Context) string {
	call, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	address, err := a.options.Leader(call)
	if err == nil && address != "" {
		return address
	}
	if err != nil {
		a.options.Log.WithError(err).Warn("leader's address can't be read from the table; asking the entries")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	candidates := a.entries
	if len(candidates) == 0 {
		candidates = a.options.Seeds
	}
	if len(candidates) == 0 {
		return ""
	}
	address = candidates[0]
	a.entries = append(append([]string(nil), candidates[1:]...), address)
	return address
}
