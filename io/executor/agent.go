package executor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/announcement"
	"oleandervalve/core/leasebound"
	"oleandervalve/core/pacing"
	"oleandervalve/core/startorder"
	"oleandervalve/io/peer"
)

// Options configures an Agent.
type Options struct {
	ID oleandervalve.AgentID
	// Seeds are the addresses of entries to try if the table names no leader.
	Seeds []string
	// LeaderAddress returns the address of the leading entry according to the table.
	LeaderAddress func(context.Context) (string, error)
	Executor      oleandervalve.ExecutorClient
	Clock         oleandervalve.Clock
	// Uptime may be nil if the instance is never suspended.
	Uptime oleandervalve.Uptime
	Log    *logrus.Entry
	Scope  tally.Scope
	// MaxLease is the maximum lease duration that the executor grants.
	MaxLease time.Duration
	// FirstStart means that the whole system starts for the first time, so that the executor has
	// had no earlier incarnation.
	FirstStart bool
	// Pacing limits how long latency-critical tasks may exceed their latency targets.
	Pacing pacing.Limits
	// ProofLifetime is how long the agent may extend the executor's lease after the
	// leader has proved its leadership.
	ProofLifetime time.Duration
	// CancelDelay is how long after the acknowledgement of a cancellation tasks of the job may
	// still start.
	CancelDelay time.Duration
	// EvacuationDelay is how long after the acknowledgement of an evacuation tasks may still start in
	// the data centre; 0 if there are no evacuations.
	EvacuationDelay time.Duration
}

// now reads the clocks.
func (o Options) now() oleandervalve.Instant { return oleandervalve.ReadInstant(o.Clock, o.Uptime) }

// agentMaxLease is the maximum lease duration that agents request. It is long enough
// for runs to survive a restart of the agent, and short enough that the runs of a
// failed executor can be started elsewhere within ten seconds.
const agentMaxLease = 6 * time.Second

// Agent connects one executor to the leading entry.
type Agent struct {
	options       Options
	leaseDuration time.Duration
	startLimits   startorder.Limits
	// meter counts the bytes of messages to and from entries.
	meter           *peer.Meter
	proofAgeMetrics proofAgeMetrics

	mu          sync.Mutex
	status      oleandervalve.ExecutorStatus
	statusKnown bool
	// statusAt is when status was announced.
	statusAt time.Time
	// deregisteredAt is when the executor, or an earlier incarnation of it, was last deregistered.
	deregisteredAt time.Time
	session        *session
	fence          fence
	// statusReceived wakes Run after an announcement.
	statusReceived chan struct{}
	entries        []string
	// lastThrottleState is the throttle state at the end of the previous session.
	lastThrottleState *throttleState
	// polledStartedAt is the start of the executor according to its last answer to a poll
	// that named another one than its announcement, or 0.
	polledStartedAt int64
	// sessionIncarnation is the incarnation of the executor in the last session.
	sessionIncarnation oleandervalve.Incarnation
	// leaseBound is the bound of the executor's lease at the end of the last session.
	leaseBound leasebound.Bound
	// services are those that the configuration names, as the last leader has said.
	services []oleandervalve.ServiceName
	// drainingSince is when the executor first announced that it is draining.
	drainingSince time.Time
	// ended means that the executor has ended and has not announced itself since.
	ended bool
	// crashes tells which runs the executor had when it crashed.
	crashes *crashLog
	// unanswered tells which start orders have had no answer.
	unanswered *unansweredStarts
}

// New returns an agent. Run must be called to connect it to the leader.
func New(o Options) *Agent {
	leaseDuration := min(o.MaxLease, agentMaxLease)
	limits := leasebound.Limits{Requested: leaseDuration, Granted: o.MaxLease}
	return &Agent{options: o, unanswered: newUnansweredStarts(limits, o.Clock, o.FirstStart), meter: peer.NewMeter(o.Scope), proofAgeMetrics: newProofAgeMetrics(o.Scope), leaseDuration: leaseDuration, startLimits: newStartLimits(o), statusReceived: make(chan struct{}, 1), fence: newFence(), crashes: newCrashLog(o.Clock)}
}

// StatusAnnounced handles an announced status of the executor. It ignores announcements that
// are older than the current status, and rejects those that are not of this executor.
func (a *Agent) StatusAnnounced(s oleandervalve.ExecutorStatus) error {
	answer := a.identify(s.Incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	current := announcement.Current{Status: a.status, At: a.statusAt, PolledStart: a.polledStartedAt, Services: a.services}
	if v := announcement.Decide(a.options.Clock.Now(), current, s, answer); v != announcement.Followed {
		a.options.Scope.Tagged(map[string]string{"verdict": string(v)}).Counter("announcements_ignored").Inc(1)
		a.options.Log.WithFields(logrus.Fields{
			"executor": s.Incarnation.ID, "born": s.Incarnation.StartedAt, "sequence": s.Sequence, "verdict": v,
			"current": a.status.Incarnation.ID, "newest": a.status.Sequence,
		}).Info("announcement ignored")
		if v == announcement.Outdated {
			return nil
		}
		if v == announcement.Unconfirmed {
			return &oleandervalve.UnavailableError{Service: "executor", Remedy: "answer the agent's question and announce it again"}
		}
		return &oleandervalve.InvalidError{Field: "announcement", Value: string(s.Incarnation.ID), Remedy: "announce only the executor beside this agent"}
	}
	newIncarnation := !a.statusKnown || a.status.Incarnation != s.Incarnation
	// Another service means that the status before was not of this executor.
	newWriter := newIncarnation || a.status.Service != s.Service
	if !newWriter && a.status.State == oleandervalve.ExecutorDraining && s.State == oleandervalve.ExecutorReady {
		s.State = oleandervalve.ExecutorDraining
	}
	changed := newIncarnation || changesPlacement(a.status, s)
	back := a.ended
	a.ended = false
	if newIncarnation || back {
		a.executorReplaced(s.Incarnation, a.leavesAsPlanned())
	}
	a.status, a.statusKnown, a.statusAt = s, true, a.options.Clock.Now()
	if newIncarnation {
		a.deregisteredAt = time.Time{}
	}
	if newWriter {
		a.drainingSince = time.Time{}
	}
	if s.State == oleandervalve.ExecutorDraining && a.drainingSince.IsZero() {
		a.drainingSince = a.options.Clock.Now()
	}
	if changed {
		a.options.Log.WithFields(logrus.Fields{"executor": s.Incarnation.ID, "born": s.Incarnation.StartedAt, "state": s.State, "cpu": s.Capacity.CPU, "memory": s.Capacity.Memory, "sequence": s.Sequence}).Info("executor status changed")
	}
	switch {
	case a.session == nil:
		a.notifyStatusReceived()
	case newIncarnation || back:
		a.session.end("executor has a new incarnation")
	case changed:
		a.session.reportStatus(s)
	}
	return nil
}

// identify asks the executor whether it is an announced incarnation, unless that is the
// current one.
func (a *Agent) identify(announced oleandervalve.Incarnation) announcement.Answer {
	a.mu.Lock()
	known := a.statusKnown && a.status.Incarnation == announced
	token := a.fence.tokens.Newest()
	a.mu.Unlock()
	if known {
		return announcement.Answer{}
	}
	var clock oleandervalve.ExecutorTime
	var startedAt int64
	var err error
	for range identifyAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		clock, startedAt, err = a.options.Executor.Identify(ctx, announced.ID, token)
		cancel()
		var unknown *oleandervalve.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			break
		}
	}
	var replaced *oleandervalve.WrongIncarnationError
	switch {
	case errors.As(err, &replaced):
		return announcement.Answer{Identity: announcement.Refuted}
	case err != nil:
		a.options.Log.WithField("executor", announced.ID).WithError(err).Info("executor does not confirm its announcement")
		return announcement.Answer{}
	case startedAt == 0:
		return announcement.Answer{Identity: announcement.Named, Uptime: time.Duration(clock)}
	case startedAt != announced.StartedAt:
		return announcement.Answer{Identity: announcement.Refuted}
	}
	return announcement.Answer{Identity: announcement.Confirmed, Uptime: time.Duration(clock)}
}

// identifyTimeout is the timeout of one of identifyAttempts to ask an executor which incarnation
// it is. Executors wait a second for the answer to an announcement.
const (
	identifyTimeout  = 300 * time.Millisecond
	identifyAttempts = 2
)

// changesPlacement reports whether the difference between two statuses of an executor
// matters for the choice of its runs.
func changesPlacement(before, after oleandervalve.ExecutorStatus) bool {
	return before.State != after.State || before.Capacity != after.Capacity || before.Service != after.Service || (before.Cold > 0) != (after.Cold > 0) || !slices.Equal(before.Labels, after.Labels)
}

// recordPolledStart records the start that the executor has named in its answer to a poll.
func (a *Agent) recordPolledStart(startedAt int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.polledStartedAt = startedAt
}

// ExecutorDeregistered handles the deregistration of the executor. It tells that an end is planned
// but not that the executor has ended: the call may be of an earlier incarnation with the same id,
// and an executor without an acknowledgement runs on for seconds. The polls find the end.
func (a *Agent) ExecutorDeregistered(e oleandervalve.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	concerned := a.statusKnown && announcement.Concerns(a.status.Incarnation, e)
	a.options.Log.WithFields(logrus.Fields{"executor": e.ID, "born": e.StartedAt, "state": a.status.State, "current": a.status.Incarnation.ID, "ignored": !concerned}).Info("executor deregistered")
	if concerned {
		a.deregisteredAt = a.options.Clock.Now()
	}
}

// leavesAsPlanned reports whether an end of the executor now is a planned one. a.mu must be held.
func (a *Agent) leavesAsPlanned() bool {
	return announcement.Departure{State: a.status.State, DeregisteredAt: a.deregisteredAt}.Planned(a.options.Clock.Now())
}

func (a *Agent) notifyStatusReceived() {
	select {
	case a.statusReceived <- struct{}{}:
	default:
	}
}

// Run maintains a session with the leading entry until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	go a.fenceLoop(ctx)
	address := ""
	for ctx.Err() == nil {
		if !a.knowsExecutor() {
			a.awaitExecutor(ctx)
			continue
		}
		if address == "" {
			address = a.findLeader(ctx)
		}
		next, err := a.runSession(ctx, address)
		if err != nil && ctx.Err() == nil {
			a.options.Log.WithField("entry", address).WithError(err).Info("session ended")
		}
		if next == "" || next == address {
			a.waitRetryDelay(ctx)
		}
		address = next
	}
}

// retryDelay is the delay before a failed session, order or poll of the executor is retried.
const retryDelay = 100 * time.Millisecond

func (a *Agent) waitRetryDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.options.Clock.After(retryDelay):
	}
}

// leaderLookupTimeout is the timeout for reading the leader's address from the table.
const leaderLookupTimeout = 500 * time.Millisecond

// findLeader returns the leader's address according to the table. If the table
// provides none, it returns the addresses of the known entries in rotation; an entry
// that does not lead redirects the agent to the leader.
func (a *Agent) findLeader(ctx context.Context) string {
	call, cancel := context.WithTimeout(ctx, leaderLookupTimeout)
	defer cancel()
	address, err := a.options.LeaderAddress(call)
	if err == nil && address != "" {
		return address
	}
	if err != nil {
		a.options.Log.WithError(err).Warn("cannot read the leader's address from the table; trying the known entries")
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
