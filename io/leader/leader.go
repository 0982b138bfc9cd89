package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/evacuation"
	"oleandervalve/core/handover"
	"oleandervalve/core/leasebound"
	"oleandervalve/core/startorder"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

const (
	// tickInterval is the interval between calls of the dispatcher's Tick.
	tickInterval = 100 * time.Millisecond
	// outflowInterval is the interval between measurements of what the leader sends.
	outflowInterval = time.Second
	// RenewInterval is the maximum time between two renewals of leadership. A renewal
	// is a commit to the leader's row, which proves that no other entry leads.
	RenewInterval = 700 * time.Millisecond
	// proofInterval is how long after the leader's row was first sent commits without it prove
	// leadership.
	proofInterval = RenewInterval / 2
	// ProofLifetime is how long after such a proof an agent may extend its executor's
	// lease. It is long enough for an outage of the table of five seconds.
	ProofLifetime = 7 * time.Second
	// takeoverMargin is the safety margin for executors' clocks that run 2% slow, and
	// for rounding.
	takeoverMargin = 500 * time.Millisecond
	// resignAfter is how long commits may fail before the leader resigns, if another
	// entry reaches the table.
	resignAfter = 1200 * time.Millisecond
	// minCommitTimeout and maxCommitTimeout bound the adaptive timeout of a commit.
	// maxCommitTimeout is also the timeout of a read and of a takeover commit.
	minCommitTimeout = 150 * time.Millisecond
	maxCommitTimeout = 2 * time.Second
	// commitTimeoutFactor is the ratio of the timeout of a commit to the average
	// duration of commits.
	commitTimeoutFactor = 8
	// retryDelay is the pause before a refused commit or a failed read is repeated.
	retryDelay = 100 * time.Millisecond
	// maxActiveJobs limits the work of the leader.
	maxActiveJobs = 5000
	// maxJobMemory limits the memory of all known jobs, of which a usual one takes 8 KB. It is the
	// same for all instances but the smallest, because each has to load the jobs that another one
	// accepted as leader.
	maxJobMemory = 46 << 20
	// jobMemoryShare is the share of the instance's memory, one part in so many, that jobs may
	// take at most.
	jobMemoryShare = 4
	// refuseSubmissionsAfter is how long commits may fail before new submissions are
	// refused without an attempt to commit them.
	refuseSubmissionsAfter = 300 * time.Millisecond
)

// ErrFenced means that another entry has replaced the leader's row.
var ErrFenced = errors.New("another entry has become the leader: follow it")

// ErrResigned means that the leader can't reach the table and has asked an entry that
// can to take over.
var ErrResigned = errors.New("this entry can't reach the table and another entry can: follow that entry")

// ErrHandedOver means that the leader has asked a stronger entry to take over.
var ErrHandedOver = errors.New("a stronger entry has been asked to lead: follow that entry")

// Options configure a leader.
type Options struct {
	// CPUShare is the entry's processor share, in processors.
	CPUShare float64
	// Memory is the memory of the instance; 0 means that it is unknown.
	Memory oleandervalve.Bytes
	// Link is the rate of the entry's link; 0 means that it is unknown.
	Link oleandervalve.BitsPerSecond
	// DisableHandover keeps the leader from handing leadership to a stronger entry.
	DisableHandover bool
	Table           oleandervalve.Table
	Clock           oleandervalve.Clock
	// Uptime may be nil if the instance is never suspended.
	Uptime     oleandervalve.Uptime
	Log        *logrus.Entry
	Scope      tally.Scope
	Retention  time.Duration
	EarlyStart time.Duration
	// MaxRow is the size of the largest row that the table accepts; 0 means 64 KiB.
	MaxRow oleandervalve.Bytes
	// Permits decides which executors may run a step. It may be nil if no queue
	// requires permits.
	Permits oleandervalve.PermitService
	// MaxLease is the longest lease that executors grant; 0 means that they grant what is requested.
	MaxLease time.Duration
	// CancelDelay is how long after the acknowledgement of a cancellation tasks of the job may still
	// start.
	CancelDelay time.Duration
	// EvacuationDelay is how long after the acknowledgement of an evacuation tasks may still start in
	// the data centre; 0 if there are no evacuations. With them, EvacuationPrefix is the prefix of the
	// keys of the rows that request one.
	EvacuationDelay  time.Duration
	EvacuationPrefix oleandervalve.Key
	// MoveInterval is how long all other tasks of a long-running step must have been running before a
	// task may be moved out of an evacuated data centre.
	MoveInterval time.Duration
	// Revision returns the revision of the configuration in force.
	Revision func() oleandervalve.Revision
	// Services returns the services that the configuration in force names; nil if it isn't known. It may
	// be nil.
	Services func() []oleandervalve.ServiceName
}

// maxServiceBytes limits the names of services in an admission, which is one frame.
const maxServiceBytes = peer.MaxFrame / 4

// services returns the services that the configuration names, or nil if it isn't known or names too many.
func (o Options) services() []oleandervalve.ServiceName {
	if o.Services == nil {
		return nil
	}
	services, size := o.Services(), 0
	for _, s := range services {
		size += len(s)
	}
	if size > maxServiceBytes {
		return nil
	}
	return services
}

// now reads the clocks.
func (o Options) now() oleandervalve.Instant { return oleandervalve.ReadInstant(o.Clock, o.Uptime) }

// maxJobMemory returns the limit of the memory of all known jobs.
func (o Options) maxJobMemory() oleandervalve.Bytes {
	if o.Memory > 0 {
		return min(maxJobMemory, o.Memory/jobMemoryShare)
	}
	return maxJobMemory
}

// unconfirmedAfter returns dispatch.Options.UnconfirmedAfter.
func (o Options) unconfirmedAfter() time.Duration {
	if o.MaxLease == 0 {
		return 0
	}
	return leasebound.Limits{Granted: o.MaxLease}.UnconfirmedAfter(startorder.Delays{Cancel: o.CancelDelay, Evacuation: o.EvacuationDelay}.MaxProofAge(ProofLifetime))
}

// Leader leads for one term. A new Leader is needed for each term.
type Leader struct {
	options Options
	row     Row
	version oleandervalve.Version
	// averageCommitTime is the average duration of commits, of which there is one at a time.
	averageCommitTime time.Duration

	mu         timedMutex
	slowness   slowness
	dispatcher *dispatch.Dispatcher
	replies    map[dispatch.Token]func(dispatch.Reply)
	nextToken  dispatch.Token
	// compressed holds the compressed payloads of jobs.
	compressed   map[oleandervalve.JobID][]byte
	sessionCount uint64
	agents       map[oleandervalve.AgentID]*session
	// joins counts the connections of each entry.
	joins       map[oleandervalve.EntryID]int
	followers   map[oleandervalve.EntryID]*follower
	lastProofAt oleandervalve.Instant
	// absenceReads limits the reads in flight that confirm that a job is not stored.
	absenceReads chan struct{}
	// renewedAt is when the last commit that renewed the leader's row was sent. Entries
	// without a connection judge the leader by that row alone.
	renewedAt oleandervalve.Instant
	// rowSentAt is when the stored row was first sent.
	rowSentAt     oleandervalve.Instant
	termStartedAt oleandervalve.Instant
	// acquiredAt is when the leader's row had certainly replaced that of the previous leader.
	acquiredAt oleandervalve.Instant
	silences   silences
	// inheritedSilences are those that the row of the previous leader named, as of acquiredAt.
	inheritedSilences []dispatch.Silence
	// inheritedRowAge is a lower bound of the age of the previous leader's row at acquiredAt.
	inheritedRowAge time.Duration
	// grantedWhileLoading holds when agents were last given a proof before the jobs were loaded.
	grantedWhileLoading map[oleandervalve.AgentID]time.Time
	// tableTime is the time by the clock of the table at the local time tableTimeAt; zero
	// before the first commit.
	tableTime   time.Time
	tableTimeAt oleandervalve.Instant
	// tableTimeSent is when the call was sent that tableTime is the answer to.
	tableTimeSent oleandervalve.Instant
	// learnedWrittenAt is the time of the last write of the learned model.
	learnedWrittenAt time.Time
	// failingSince is the start of the first failed commit since the last successful
	// one; it is zero if the last commit succeeded.
	failingSince time.Time
	loaded       bool
	stopped      bool
	// skippedRows holds the keys of the job records that were skipped when the jobs were loaded.
	skippedRows map[oleandervalve.Key]bool
	successor   string
	// outflow tells whether the link is full, and committedBytes is what commits have sent since
	// it was last told.
	outflow        *handover.Outflow
	committedBytes oleandervalve.Bytes

	// permitRequests queues requests to the permit service.
	permitRequests chan dispatch.RequestPermits

	// evacuation is what is known of the evacuated data centres.
	evacuation evacuation.View

	// ready is closed when the jobs are loaded or the term has ended.
	ready     chan struct{}
	readyOnce sync.Once

	commitRequests chan struct{}
	done           chan struct{}
	// cancelled is closed when the term is to end, which may be before it begins.
	cancelled  chan struct{}
	cancelOnce sync.Once
}

// Acquire tries to become the leader by replacing the given leader's row with own,
// under the next term. On success, Run must be called on the returned leader.
func Acquire(ctx context.Context, o Options, current oleandervalve.Row, own Row) (*Leader, error) {
	previous, err := DecodeRow(current)
	if err != nil {
		o.Log.WithError(err).Warn("the leader's row can't be decoded and will be replaced")
	}
	own.Term, own.Silences, own.Confirmations = previous.Term+1, previous.Silences, previous.Confirmations
	started := o.now()
	own.SentBy = time.Time{}
	committed, err := commitTakeover(ctx, o, oleandervalve.Transaction{
		Conditions: []oleandervalve.Condition{{Key: Key, Version: current.Version}},
		Puts:       []oleandervalve.Put{{Key: Key, Value: work.Encode(own)}},
	})
	if err != nil {
		return nil, err
	}
	o.Log = o.Log.WithField("term", own.Term)
	slow := newSlowness(o)
	l := &Leader{
		options: o, row: own, version: committed.Versions[0], outflow: handover.NewOutflow(o.Link), slowness: slow, mu: timedMutex{clock: o.Clock, report: slow.lockReleased},
		acquiredAt: o.now(), inheritedSilences: own.Silences, inheritedRowAge: leasebound.RowAge(committed.At, previous.SentBy), grantedWhileLoading: map[oleandervalve.AgentID]time.Time{},
		averageCommitTime: minCommitTimeout / commitTimeoutFactor,
		dispatcher: dispatch.New(dispatch.Options{
			TakeoverAfter: ProofLifetime*102/100 + takeoverMargin, UnconfirmedAfter: o.unconfirmedAfter(), Retention: o.Retention, EarlyStart: o.EarlyStart, MoveInterval: o.MoveInterval, MaxActive: maxActiveJobs, MaxMemory: o.maxJobMemory(), MaxRow: o.MaxRow,
		}),
		replies: map[dispatch.Token]func(dispatch.Reply){}, skippedRows: map[oleandervalve.Key]bool{}, compressed: map[oleandervalve.JobID][]byte{}, agents: map[oleandervalve.AgentID]*session{}, joins: map[oleandervalve.EntryID]int{},
		followers: map[oleandervalve.EntryID]*follower{}, absenceReads: make(chan struct{}, maxAbsenceReads), lastProofAt: started, renewedAt: started, rowSentAt: started, termStartedAt: started,
		permitRequests: make(chan dispatch.RequestPermits, maxPermitRequests), ready: make(chan struct{}), commitRequests: make(chan struct{}, 1), done: make(chan struct{}), cancelled: make(chan struct{}),
	}
	l.silences.add(l.acquiredAt.Add(-l.inheritedRowAge), own.Silences)
	return l, nil
}

// commitTakeover commits a takeover. A commit with an unknown outcome is repeated; a
// conflict with the row that it writes shows that it was applied.
func commitTakeover(ctx context.Context, o Options, t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, maxCommitTimeout)
		c, err := o.Table.Commit(callCtx, t)
		cancel()
		if err == nil {
			return c, nil
		}
		var conflict *oleandervalve.ConflictError
		if errors.As(err, &conflict) && isOwnCommit(t, conflict) {
			return oleandervalve.Committed{Versions: []oleandervalve.Version{conflict.Current.Version}}, nil
		}
		var unknown *oleandervalve.UnknownOutcomeError
		if !errors.As(err, &unknown) || ctx.Err() != nil {
			return oleandervalve.Committed{}, err
		}
		o.Log.WithError(err).Warn("outcome of the takeover is unknown; repeating it")
	}
}

// Term returns the number of the leader's term.
func (l *Leader) Term() uint64 { return l.row.Term }

// Ready returns a channel that is closed when the jobs are loaded or the term has
// ended.
func (l *Leader) Ready() <-chan struct{} { return l.ready }

// Run loads the jobs and leads until the context ends or leadership is lost.
func (l *Leader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(l.done)
	defer l.stop()
	defer l.readyOnce.Do(func() { close(l.ready) })
	defer cancel()
	go func() {
		select {
		case <-l.cancelled:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := l.loadWhileRenewing(ctx); err != nil {
		return err
	}
	go l.tickLoop(ctx)
	go l.permitLoop(ctx)
	return l.commitLoop(ctx)
}

// cancel ends the term.
func (l *Leader) cancel() { l.cancelOnce.Do(func() { close(l.cancelled) }) }

// stop ends all connections. It answers pending requests with an unknown outcome, since
// their changes may or may not have been committed.
func (l *Leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for t, reply := range l.replies {
		reply(dispatch.Reply{Token: t, Verdict: dispatch.Unknown})
	}
	l.replies = nil
	if l.options.EvacuationDelay > 0 {
		// Only the leader reports these.
		l.updateEvacuationGauges(0, 0)
	}
	for _, s := range l.agents {
		s.conn.TrySend(redirectTo(l.successor))
		s.conn.CloseAfterDelay()
	}
	for _, f := range l.followers {
		f.conn.TrySend(redirectTo(l.successor))
		f.conn.CloseAfterDelay()
	}
}

func (l *Leader) tickLoop(ctx context.Context) {
	t := l.options.Clock.NewTicker(tickInterval)
	defer t.Stop()
	var observedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) {
			d.Tick(now)
			l.slowness.passEnded("tick", now)
			if now.Sub(observedAt) >= outflowInterval {
				observedAt = now
				l.observeOutflow(now)
				l.reportEvacuations(d)
			}
		})
	}
}

// withDispatcher changes the dispatcher's state under the lock and executes the
// resulting actions. It does nothing before the jobs are loaded and after the term
// has ended. Scheduling is left to commitLoop, just before a commit, so that one pass
// serves all events that arrive during the previous commit.
func (l *Leader) withDispatcher(change func(*dispatch.Dispatcher, time.Time)) {
	l.mu.Lock()
	if l.stopped || !l.loaded {
		l.mu.Unlock()
		return
	}
	now := l.options.Clock.Now()
	change(l.dispatcher, now)
	l.executeActions(l.dispatcher.TakeActions())
	pending := l.dispatcher.Pending()
	l.mu.Unlock()
	if pending {
		l.requestCommit()
	}
}

// requestCommit makes commitLoop start a commit as soon as it can.
func (l *Leader) requestCommit() {
	select {
	case l.commitRequests <- struct{}{}:
	default:
	}
}

// executeActions executes actions of the dispatcher: messages to agents, replies to
// callers, log events and permit requests. The lock must be held.
func (l *Leader) executeActions(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Reply:
			if reply := l.replies[a.Token]; reply != nil {
				delete(l.replies, a.Token)
				reply(a)
			}
		case dispatch.LogEvent:
			f := logrus.Fields(a.Fields)
			if a.Job != "" {
				f["job"] = a.Job
			}
			l.options.Log.WithFields(f).Info(a.Event)
			l.recordEventMetrics(a)
		case dispatch.RequestPermits:
			l.queuePermitRequest(a)
		case dispatch.Start:
			l.sendStart(a)
		case dispatch.Adopt:
			l.send(a.Agent, adoptRun(a))
		case dispatch.Stop:
			l.send(a.Agent, stopRun(a))
		case dispatch.Evacuation:
			l.sendEvacuation(a)
		case dispatch.ShareContention:
			l.send(a.Agent, &peer.ShareContention{ShareContention: a})
		case dispatch.Acknowledge:
			l.send(a.Agent, acknowledgeEnd(a))
		}
	}
}

// durationBuckets range from 2 ms to about a minute.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 16)

// recordEventMetrics counts a logged event, counts refusals by queue and reason, and records
// the age of a job that has ended.
func (l *Leader) recordEventMetrics(n dispatch.LogEvent) {
	l.options.Scope.Tagged(map[string]string{"event": n.Event}).Counter("decisions").Inc(1)
	if n.Event == "refused" {
		l.options.Scope.Tagged(map[string]string{"queue": fmt.Sprint(n.Fields["queue"]), "reason": fmt.Sprint(n.Fields["reason"])}).Counter("refusals").Inc(1)
	}
	if age, ok := n.Fields["ageMs"].(int64); ok && n.Event == "ended" {
		l.options.Scope.Tagged(map[string]string{"state": fmt.Sprint(n.Fields["state"])}).
			Histogram("job_time", durationBuckets).RecordDuration(time.Duration(age) * time.Millisecond)
	}
}
