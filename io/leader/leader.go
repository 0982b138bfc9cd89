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
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

const (
	// tickEvery is the period of the dispatcher's timers.
	tickEvery = 100 * time.Millisecond
	// RenewEvery is the longest time between two proofs of leadership.
	RenewEvery = 700 * time.Millisecond
	// ProofLifetime is how long after a proof of leadership an agent may extend
	// its executor's lease; it covers an outage of the table of five seconds.
	ProofLifetime = 7 * time.Second
	// takeoverGuard covers executors' clocks that run 2% slow, and rounding.
	takeoverGuard = 500 * time.Millisecond
	// resignAfter is how long commits may fail while another entry reaches the table.
	resignAfter = 1200 * time.Millisecond
	// firstCommitTimeout and longestCommitTimeout bound the adaptive time-out of a commit.
	firstCommitTimeout   = 150 * time.Millisecond
	longestCommitTimeout = 2 * time.Second
	// timeoutFactor is the time-out of a commit as a multiple of its usual time.
	timeoutFactor = 8
	// commitRetry is the pause after a refused commit.
	commitRetry = 100 * time.Millisecond
	// maxOpenJobs bounds the memory of the leader: a job takes about 10 KB.
	maxOpenJobs = 5000
	// refuseAfter is how long commits may fail before submissions are refused at once.
	refuseAfter = 300 * time.Millisecond
)

// ErrFenced reports that another entry has become the leader.
var ErrFenced = errors.New("another entry has become the leader: follow it")

// ErrResigned reports that the leader can't reach the table and another entry can.
var ErrResigned = errors.New("the table is out of reach here and another entry reaches it: follow that entry")

// ErrHandedOver reports that a stronger entry has been asked to lead.
var ErrHandedOver = errors.New("a stronger entry has been asked to lead: follow that entry")

// Options describe a leader.
type Options struct {
	// CPUShare is the share of a processor that the entry has.
	CPUShare float64
	// Keep means that leadership is not handed to a stronger entry.
	Keep      bool
	Table     oleandervalve.Table
	Clock     oleandervalve.Clock
	Log       *logrus.Entry
	Scope     tally.Scope
	Retention time.Duration
	EarlyBy   time.Duration
	// Permits decides which executors may run a step; nil where no queue asks for it.
	Permits oleandervalve.PermitService
	// Revision returns the configuration in force.
	Revision func() oleandervalve.Revision
}

// Leader is one term of leadership.
type Leader struct {
	options Options
	row     Row
	version oleandervalve.Version

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	replies    map[dispatch.Token]func(dispatch.Reply)
	nextToken  dispatch.Token
	sessions   uint64
	agents     map[oleandervalve.AgentID]*session
	followers  map[oleandervalve.EntryID]*follower
	provedAt   time.Time
	takenAt    time.Time
	// learnedAt is when what is learned was last written.
	learnedAt time.Time
	// failingSince is the time of the first of the commits that fail now.
	failingSince time.Time
	loaded       bool
	stopped      bool
	successor    string

	// ready is closed when the jobs are loaded or the term has ended.
	// questions are the questions for permits that wait for their turn.
	questions chan dispatch.RequestPermits

	ready     chan struct{}
	readyOnce sync.Once

	kick   chan struct{}
	done   chan struct{}
	cancel context.CancelFunc
}

// Take tries to become the leader by replacing the given row.
func Take(ctx context.Context, o Options, current oleandervalve.Row, mine Row) (*Leader, error) {
	before, err := ReadRow(current)
	if err != nil {
		o.Log.WithError(err).Warn("the leader's row is unreadable and will be replaced")
	}
	mine.Term = before.Term + 1
	started := o.Clock.Now()
	version, err := take(ctx, o, oleandervalve.Transaction{
		Conditions: []oleandervalve.Condition{{Key: Key, Version: current.Version}},
		Puts:       []oleandervalve.Put{{Key: Key, Value: work.Encode(mine)}},
	})
	if err != nil {
		return nil, err
	}
	return &Leader{
		options: o, row: mine, version: version,
		dispatcher: dispatch.New(dispatch.Options{
			TakeoverAfter: ProofLifetime*102/100 + takeoverGuard, Retention: o.Retention, EarlyStart: o.EarlyBy, MaxActive: maxOpenJobs,
		}),
		replies: map[dispatch.Token]func(dispatch.Reply){}, agents: map[oleandervalve.AgentID]*session{},
		followers: map[oleandervalve.EntryID]*follower{}, provedAt: started, takenAt: started,
		questions: make(chan dispatch.RequestPermits, maxQuestions), ready: make(chan struct{}), kick: make(chan struct{}, 1), done: make(chan struct{}),
	}, nil
}

// take commits a takeover; a commit without an answer is repeated, and a
// conflict with its own row shows that it was applied.
func take(ctx context.Context, o Options, t oleandervalve.Transaction) (oleandervalve.Version, error) {
	for {
		call, cancel := context.WithTimeout(ctx, longestCommitTimeout)
		c, err := o.Table.Commit(call, t)
		cancel()
		if err == nil {
			return c.Versions[0], nil
		}
		var conflict *oleandervalve.ConflictError
		if errors.As(err, &conflict) && ours(t, conflict) {
			return conflict.Current.Version, nil
		}
		var unknown *oleandervalve.UnknownOutcomeError
		if !errors.As(err, &unknown) || ctx.Err() != nil {
			return 0, err
		}
		o.Log.WithError(err).Warn("takeover is not answered; repeating it")
	}
}

// Term returns the number of the leader's term.
func (l *Leader) Term() uint64 { return l.row.Term }

// Ready is closed when the jobs are loaded or the term has ended.
func (l *Leader) Ready() <-chan struct{} { return l.ready }

// Run loads the jobs and leads until the context ends or leadership is lost.
func (l *Leader) Run(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	defer close(l.done)
	defer l.stop()
	defer l.readyOnce.Do(func() { close(l.ready) })
	defer l.cancel()
	if err := l.load(ctx); err != nil {
		return err
	}
	go l.tick(ctx)
	go l.askLoop(ctx)
	return l.commitLoop(ctx)
}

// stop ends all connections; callers get unknown outcomes.
func (l *Leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for t, reply := range l.replies {
		reply(dispatch.Reply{Token: t, Verdict: dispatch.Unknown})
	}
	l.replies = nil
	for _, s := range l.agents {
		s.conn.TrySend(redirect(l.successor))
		s.conn.CloseSoon()
	}
	for _, f := range l.followers {
		f.conn.TrySend(redirect(l.successor))
		f.conn.CloseSoon()
	}
}

func (l *Leader) tick(ctx context.Context) {
	t := l.options.Clock.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		l.do(func(d *dispatch.Dispatcher, now time.Time) { d.Tick(now) })
	}
}

// do runs a change of the dispatcher and carries out what follows from it. Work
// is placed when the next commit can carry the assignments: one pass serves all
// events that come during a commit.
func (l *Leader) do(change func(*dispatch.Dispatcher, time.Time)) {
	l.mu.Lock()
	if l.stopped || !l.loaded {
		l.mu.Unlock()
		return
	}
	now := l.options.Clock.Now()
	change(l.dispatcher, now)
	l.carryOut(l.dispatcher.TakeActions())
	pending := l.dispatcher.Pending()
	l.mu.Unlock()
	if pending {
		l.wake()
	}
}

func (l *Leader) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// carryOut sends messages and replies; the lock is held.
func (l *Leader) carryOut(actions []dispatch.Action) {
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
			l.countEvent(a)
		case dispatch.RequestPermits:
			l.ask(a)
		case dispatch.Start:
			l.send(a.Agent, startRun(a))
		case dispatch.Adopt:
			l.send(a.Agent, adoptRun(a))
		case dispatch.Stop:
			l.send(a.Agent, stopRun(a))
		case dispatch.ShareContention:
			l.send(a.Agent, &peer.ShareContention{ShareContention: a})
		case dispatch.Acknowledge:
			l.send(a.Agent, acknowledgeEnd(a))
		}
	}
}

// timeBuckets spread from two milliseconds to about a minute.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 16)

// countEvent counts a decision, and the time of a job that has ended.
func (l *Leader) countEvent(n dispatch.LogEvent) {
	l.options.Scope.Tagged(map[string]string{"event": n.Event}).Counter("decisions").Inc(1)
	if age, ok := n.Fields["ageMs"].(int64); ok && n.Event == "ended" {
		l.options.Scope.Tagged(map[string]string{"state": fmt.Sprint(n.Fields["state"])}).
			Histogram("job_time", timeBuckets).RecordDuration(time.Duration(age) * time.Millisecond)
	}
}

// load reads all jobs from the table.
func (l *Leader) load(ctx context.Context) error {
	started := l.options.Clock.Now()
	specs := map[oleandervalve.JobID]oleandervalve.Row{}
	if err := l.scan(ctx, work.SpecPrefix, func(r oleandervalve.Row) {
		specs[oleandervalve.JobID(r.Key[len(work.SpecPrefix):])] = r
	}); err != nil {
		return err
	}
	var stored []dispatch.StoredJob
	err := l.scan(ctx, work.RecordPrefix, func(r oleandervalve.Row) {
		s := dispatch.StoredJob{Job: oleandervalve.JobID(r.Key[len(work.RecordPrefix):]), Version: r.Version}
		spec := specs[s.Job]
		s.SpecVersion = spec.Version
		err := work.Decode(r, &s.Record)
		if err == nil && s.Record.State != work.Completed {
			err = work.Decode(spec, &s.Spec)
		}
		if err != nil {
			l.options.Log.WithField("job", s.Job).WithError(err).Error("stored job is unreadable and is left out")
			return
		}
		stored = append(stored, s)
	})
	if err != nil {
		return err
	}
	learned, err := l.get(ctx, dispatch.LearnedKey)
	if err != nil {
		return err
	}
	l.mu.Lock()
	if learned.Version > 0 {
		if err := l.dispatcher.RestoreLearned(learned); err != nil {
			l.options.Log.WithError(err).Warn("what the last leader learned is unreadable; it is learned again")
		}
	}
	l.learnedAt = l.options.Clock.Now()
	l.dispatcher.Load(l.options.Clock.Now(), stored)
	l.loaded = true
	l.mu.Unlock()
	l.readyOnce.Do(func() { close(l.ready) })
	l.options.Log.WithFields(logrus.Fields{"term": l.row.Term, "jobs": len(stored), "tookMs": l.options.Clock.Since(started).Milliseconds()}).Info("leading")
	return nil
}

// retry repeats a read of the table that fails, a few times.
func (l *Leader) retry(ctx context.Context, read func(context.Context) error) error {
	for try := 0; ; try++ {
		call, cancel := context.WithTimeout(ctx, longestCommitTimeout)
		err := read(call)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || try >= readTries {
			return errors.Wrap(err, "read the stored jobs")
		}
		l.options.Clock.Sleep(commitRetry)
	}
}

// get reads one row; an absent one has version 0.
func (l *Leader) get(ctx context.Context, key oleandervalve.Key) (row oleandervalve.Row, err error) {
	err = l.retry(ctx, func(ctx context.Context) error {
		rows, err := l.options.Table.Get(ctx, key)
		if err == nil {
			row = rows[0]
		}
		return err
	})
	return row, err
}

// scanPage is the number of rows in one page of a scan; the table sends at most 500.
const scanPage = 500

func (l *Leader) scan(ctx context.Context, prefix oleandervalve.Key, take func(oleandervalve.Row)) error {
	var after oleandervalve.Key
	for {
		var p oleandervalve.Page
		err := l.retry(ctx, func(ctx context.Context) (err error) {
			p, err = l.options.Table.Scan(ctx, prefix, after, scanPage)
			return err
		})
		if err != nil {
			return err
		}
		for _, r := range p.Rows {
			take(r)
		}
		if p.Next == "" {
			return nil
		}
		after = p.Next
	}
}

// readTries bounds the attempts at one read before leadership is given up.
const readTries = 5
