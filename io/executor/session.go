package executor

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/crash"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/leasebound"
	"oleandervalve/core/pacing"
	"oleandervalve/core/progress"
	"oleandervalve/core/startorder"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

const (
	// sessionDialTimeout is the timeout for connecting to an entry and being admitted.
	sessionDialTimeout = 700 * time.Millisecond
	// inventoryTimeout is the timeout of the first poll of the executor in a session.
	inventoryTimeout = 700 * time.Millisecond
	// maxParallelStarts limits the start orders in flight to the executor, and
	// maxParallelStops the stop orders, which must not wait behind starts.
	maxParallelStarts = 3
	maxParallelStops  = 3
	// initialOrderTimeout is the timeout of the first attempt at an order. It doubles
	// with every attempt, up to maxOrderTimeout.
	initialOrderTimeout = 300 * time.Millisecond
	maxOrderTimeout     = startorder.AttemptTimeout
)

// runKey identifies one run of a task.
type runKey struct {
	task oleandervalve.TaskName
	run  oleandervalve.RunNumber
}

// session is a connection to a leader that has admitted the agent. It ends when the
// connection is closed, when the executor gets a new incarnation, or when a newer
// session fences it off.
type session struct {
	agent *Agent
	conn  *peer.Conn
	// address is the address of the leader.
	address string
	status  oleandervalve.ExecutorStatus
	token   oleandervalve.FencingToken
	cancel  context.CancelCauseFunc
	// startSlots and stopSlots hold a value for each start or stop order in flight.
	startSlots, stopSlots chan struct{}

	mu sync.Mutex
	// proofAt is the latest time at which the leader is known to have led.
	proofAt oleandervalve.Instant
	// startProofAt is the latest time at which the leader is known to have led and to have known all
	// evacuations. Start orders need it; it equals proofAt where there are no evacuations.
	startProofAt oleandervalve.Instant
	// evacuating means that the data centre of the executor is evacuated.
	evacuating bool
	// proofRenewed is closed and replaced when startProofAt advances.
	proofRenewed chan struct{}
	// unansweredAt is when the last attempt at a start order was sent that had no answer.
	unansweredAt time.Time
	// leaderAskedAt and executorAskedAt are when the latest ping and the latest question to the
	// executor were sent that have an answer. leaderAnswered is closed and replaced at each pong.
	leaderAskedAt, executorAskedAt time.Time
	leaderAnswered                 chan struct{}
	proofAges                      proofAges
	pings                          []sentPing
	// clock is the executor's time as of clockAt on the agent's clock.
	clock   oleandervalve.ExecutorTime
	clockAt time.Time
	// unconfirmed means that a poll has failed since the executor last named its incarnation,
	// so that another one may answer now. No start order is sent meanwhile.
	unconfirmed bool
	// replaced means that a later incarnation of the executor has answered. Polls extend its lease
	// no further: their deadlines are on the clock of the earlier one.
	replaced bool
	// startsInFlight is the number of start orders without an answer yet.
	startsInFlight int
	// leaseBound tells when the executor's lease has certainly expired, on the agent's clock.
	leaseBound leasebound.Bound
	// inventoryIncomplete means that ended runs are missing from the session's inventory.
	inventoryIncomplete bool
	// lastReportedEnd is the highest number of an end that was reported to the leader.
	lastReportedEnd uint64
	// acknowledgedEnds holds the numbers above lastAcknowledgedEnd of the ends that the
	// leader has acknowledged.
	acknowledgedEnds map[uint64]bool
	// lastAcknowledgedEnd is the number up to which all ends are acknowledged.
	lastAcknowledgedEnd uint64
	// firstListedEnd is the lowest number of an end in the executor's last answer, or 0.
	firstListedEnd uint64
	// acknowledgedAt is when the last acknowledgement was answered.
	acknowledgedAt time.Time
	// acknowledgementDueAt is since when ends are to be acknowledged, and startsPaused is closed and
	// removed once start orders needn't wait for that any more.
	acknowledgementDueAt time.Time
	startsPaused         chan struct{}
	hints                map[runKey]dispatch.RunHints
	running              map[runKey]bool
	pendingStarts        map[runKey]*pendingStart
	// confirmations holds the answered starts that have not been confirmed to the leader.
	confirmations []startConfirmation
	// delayedStartsAt is when the delayed starts were last sent to the leader.
	delayedStartsAt oleandervalve.Instant
	// confirmedStops maps runs to the time at which the executor confirmed their stop
	// order, until a later poll shows whether the run had started.
	confirmedStops map[runKey]time.Time
	listedEnds     map[runKey]bool
	// dueIsolations holds the runs whose isolation has ended, until the executor is asked for them.
	dueIsolations []runKey
	// progress holds the runs whose speed is measured.
	progress map[runKey]*progress.Measurement
	// controllers holds the throttle controller of each best-effort image.
	controllers map[oleandervalve.KindName]*pacing.Controller
	// nonInterfering holds the pairs of images that are known not to interfere.
	nonInterfering map[contention.Pair]bool
	// checkpoints holds the newest checkpoint of each run, and unsentCheckpoints those
	// that have not been sent to the leader.
	checkpoints       map[runKey]string
	unsentCheckpoints map[runKey]string
	// sample is the newest contention sample that has not been sent to the leader.
	sample contention.Sample
	// speedLimits holds the speed limit, in percent, that the executor applies to each
	// run, or unknownSpeedLimit. A run missing from the map is unthrottled.
	speedLimits map[runKey]int
	// wakePoll ends the delay before the next poll of the executor, and wakePing that before
	// the next ping.
	wakePoll, wakePing chan struct{}
	// confirmPing requests a ping at once, which confirms starts.
	confirmPing chan struct{}
}

// pendingStart is a start order whose outcome is unknown.
type pendingStart struct {
	receivedAt oleandervalve.Instant
	// done is closed once the outcome is known, and stopped once the run has to end.
	done, stopped chan struct{}
	// void means, once done is closed, that the run has been reported as never started.
	void bool
	// unanswered means that an attempt has had no answer and may still take effect.
	unanswered bool
	// withholdingLogged means that it has been logged what withholds the order.
	withholdingLogged bool
	// contactSince is startorder.Circumstances.ContactSince.
	contactSince time.Time
}

// stop requests the end of the run. The mutex of the session must be held.
func (p *pendingStart) stop() {
	if !p.isStopped() {
		close(p.stopped)
	}
}

func (p *pendingStart) isStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

func (s *session) end(reason string) { s.cancel(errors.New(reason)) }

func (s *session) log() *logrus.Entry {
	return s.agent.options.Log.WithFields(logrus.Fields{"executor": s.status.Incarnation.ID, "token": s.token})
}

// report sends a message that the leader must not miss. If that isn't possible, the session
// ends: the next one begins with the executor's status and lists.
func (s *session) report(m peer.Message) {
	if !s.conn.TrySend(m) {
		s.end("a message of type " + string(m.Type()) + " can't be sent to the leader")
	}
}

// reportStatus reports a new status of the executor.
func (s *session) reportStatus(st oleandervalve.ExecutorStatus) {
	s.report(&peer.ExecutorChange{Status: s.reportable(st)})
}

// reportLost reports that the executor has given no answer until its lease expired, so
// that nothing runs on it any more.
func (s *session) reportLost() {
	m := s.terminated()
	s.agent.crashes.update(func(l *crash.Log, now time.Time) { m.Lost = l.Lost(now) })
	s.report(m)
}

// runSession runs a session with the entry at the given address. It returns the
// address to try next, or "" if it is unknown.
func (a *Agent) runSession(ctx context.Context, address string) (string, error) {
	if address == "" {
		return "", errors.New("no entry address is known: check the seeds in the settings")
	}
	call, cancelCall := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancelCall()
	c, m, err := a.join(call, address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if r, ok := m.(*peer.Redirect); ok {
		return r.Leader, nil
	}
	admit, ok := m.(*peer.Admit)
	if !ok {
		return "", &peer.FrameError{Detail: "expected an admission, got " + string(m.Type())}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		agent: a, conn: c, address: address, token: admit.Token, cancel: cancel, startSlots: make(chan struct{}, maxParallelStarts), stopSlots: make(chan struct{}, maxParallelStops),
		acknowledgedEnds: map[uint64]bool{}, hints: map[runKey]dispatch.RunHints{}, running: map[runKey]bool{},
		pendingStarts: map[runKey]*pendingStart{}, confirmedStops: map[runKey]time.Time{}, listedEnds: map[runKey]bool{},
		checkpoints: map[runKey]string{}, unsentCheckpoints: map[runKey]string{}, controllers: map[oleandervalve.KindName]*pacing.Controller{}, progress: map[runKey]*progress.Measurement{}, nonInterfering: map[contention.Pair]bool{}, speedLimits: map[runKey]int{}, wakePoll: make(chan struct{}, 1), wakePing: make(chan struct{}, 1), confirmPing: make(chan struct{}, 1), proofRenewed: make(chan struct{}), leaderAnswered: make(chan struct{}), proofAges: proofAges{startedAt: a.options.Clock.Now()},
	}
	a.mu.Lock()
	s.status = a.status
	a.fence.tokens.Admitted(admit.Token)
	a.fence.begin()
	if a.lastThrottleState != nil && a.lastThrottleState.incarnation == s.status.Incarnation {
		s.restoreThrottleState(a.lastThrottleState)
	}
	if len(admit.Entries) > 0 {
		a.entries = admit.Entries
	}
	if len(admit.Services) > 0 {
		a.services = admit.Services
	}
	a.mu.Unlock()
	ended, err := s.sendInventory(ctx)
	if err != nil {
		return address, err
	}
	a.mu.Lock()
	if a.status.Incarnation != s.status.Incarnation || ended && !a.ended {
		a.mu.Unlock()
		return address, errors.New("executor has announced itself while the session was being set up")
	}
	a.session = s
	if !ended {
		a.fence.suspend(s)
	}
	if changesPlacement(s.status, a.status) {
		s.reportStatus(a.status)
	}
	a.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.logProofAges(a.options.now())
		bound := s.leaseBound
		s.mu.Unlock()
		state := s.throttleState()
		a.mu.Lock()
		a.session, a.lastThrottleState = nil, state
		if !ended {
			a.leaseBound = bound
		}
		a.mu.Unlock()
		a.endPolling(s)
	}()
	s.log().WithField("entry", address).Info("session started")
	go s.pingLoop(ctx)
	if !ended {
		go s.pollLoop(ctx)
		go s.reportRecovery(ctx)
	}
	go func() {
		<-ctx.Done()
		c.Close()
	}()
	next, err := s.receive(ctx)
	if cause := context.Cause(ctx); cause != nil {
		var replaced *replacedLeaderError
		if errors.As(cause, &replaced) {
			return replaced.Leader, cause
		}
		return address, cause
	}
	return next, err
}

// join connects to an entry and returns its first message.
func (a *Agent) join(ctx context.Context, address string) (*peer.Conn, peer.Message, error) {
	c, err := peer.DialDispatch(ctx, address, peer.Join{Agent: a.options.ID, CachesPayloads: true, HandlesEvacuation: true}, a.meter)
	if err != nil {
		return nil, nil, err
	}
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, m, nil
}

// sendInventory fences off all earlier sessions with the executor, and sends its lists
// of running and ended runs to the leader. If nothing listens at the executor's address any
// more, the lists are empty, and ended is true.
func (s *session) sendInventory(ctx context.Context) (ended bool, err error) {
	sent := s.agent.options.Clock.Now()
	result, err := s.firstPoll(ctx)
	if isNotListening(err) {
		m, ok := s.recordEnd()
		if !ok {
			return false, &oleandervalve.WrongIncarnationError{ID: s.status.Incarnation.ID}
		}
		// The leader is told of the crash before the lists: later it can't tell which of the
		// lost runs were isolated.
		inventory := peer.ExecutorInventory{Status: s.status, Lost: s.agent.crashes.reports(), Unanswered: m.Unanswered, UnknownFor: m.UnknownFor}
		if err := s.conn.Send(&inventory); err != nil {
			return false, err
		}
		return true, s.conn.Send(m)
	}
	if err != nil {
		return false, err
	}
	if result.StartedAt != 0 && result.StartedAt != s.status.Incarnation.StartedAt {
		s.agent.recordPolledStart(result.StartedAt)
		return false, &oleandervalve.WrongIncarnationError{ID: s.status.Incarnation.ID}
	}
	s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.Answered(now, s.status.Incarnation, result) })
	answered := s.agent.options.Clock.Now()
	bound := s.agent.meet(s.status.Incarnation, time.Duration(result.Clock), sent, answered)
	s.mu.Lock()
	s.clock, s.clockAt = result.Clock, answered
	s.leaseBound = bound
	for _, r := range result.Running {
		k := runKey{r.Task, r.Run}
		s.running[k] = true
		if _, ok := s.speedLimits[k]; !ok {
			s.speedLimits[k] = unknownSpeedLimit
		}
	}
	// Runs whose orders ended with an earlier session take no room.
	maps.DeleteFunc(s.hints, func(k runKey, _ dispatch.RunHints) bool { return !s.running[k] })
	s.updateListedEnds(result.Ended)
	for _, e := range result.Ended {
		s.lastReportedEnd = max(s.lastReportedEnd, e.Number)
	}
	s.inventoryIncomplete = result.Incomplete
	s.mu.Unlock()
	if result.Incomplete {
		s.log().WithFields(logrus.Fields{"running": len(result.Running), "ended": len(result.Ended)}).Info("inventory is incomplete: further ends follow as the leader acknowledges the listed ones")
	}
	inventory := peer.ExecutorInventory{Status: s.reportable(s.status), Running: result.Running, Ended: result.Ended, Lost: s.agent.crashes.reports(), Incomplete: result.Incomplete}
	inventory.Unanswered, inventory.UnknownFor = s.agent.unanswered.late(answered)
	s.confirmLater(answered, inventory.Unanswered, inventory.UnknownFor)
	for _, m := range peer.SplitInventory(inventory) {
		if err := s.conn.Send(m); err != nil {
			return false, err
		}
	}
	return false, nil
}

// firstPoll polls the executor for the inventory. It repeats a refused poll as often as is needed
// to tell that nothing listens any more.
func (s *session) firstPoll(ctx context.Context) (oleandervalve.PollResult, error) {
	call, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	for refusals := 1; ; refusals++ {
		result, err := s.agent.options.Executor.Poll(call, s.status.Incarnation.ID, oleandervalve.PollRequest{Token: s.token})
		if !isNotListening(err) || refusals >= refusalsOfEnded {
			return result, err
		}
		s.agent.waitRetryDelay(call)
	}
}

// waitUntil waits until a time on the agent's clock. It returns false if ctx is done first.
func (s *session) waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.agent.options.Clock.After(at.Sub(s.agent.options.Clock.Now())):
		return true
	}
}

// receive handles the leader's messages until the connection ends. It returns the
// address of the leader if it is redirected.
func (s *session) receive(ctx context.Context) (string, error) {
	payloads := peer.NewPayloadCache()
	for {
		call, cancel := context.WithTimeout(ctx, leader.HeartbeatTimeout)
		m, err := s.conn.Receive(call)
		cancel()
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *peer.Pong:
			s.handlePong(m)
		case *peer.StartRun:
			if err := payloads.Complete(m); err != nil {
				return "", err
			}
			s.startRun(ctx, m.Start)
		case *peer.StopRun:
			s.stopRun(ctx, m.Stop)
		case *peer.AdoptRun:
			s.adoptRun(ctx, m.Adopt)
		case *peer.Evacuation:
			s.setEvacuating(m.Evacuated)
		case *peer.ShareContention:
			nonInterfering := make(map[contention.Pair]bool, len(m.NonInterfering))
			for _, p := range m.NonInterfering {
				nonInterfering[p] = true
			}
			s.mu.Lock()
			s.nonInterfering = nonInterfering
			s.mu.Unlock()
		case *peer.AcknowledgeEnd:
			if m.Executor == s.status.Incarnation {
				s.acknowledgeEnd(m.Number)
			}
		case *peer.Redirect:
			return m.Leader, nil
		default:
			s.log().WithField("type", m.Type()).Warn("unexpected message ignored")
		}
	}
}

// setEvacuating records whether the data centre of the executor is evacuated. Starts that wait are
// decided again before each attempt.
func (s *session) setEvacuating(evacuating bool) {
	s.mu.Lock()
	changed := s.evacuating != evacuating
	s.evacuating = evacuating
	pending := len(s.pendingStarts)
	s.mu.Unlock()
	if changed {
		s.log().WithFields(logrus.Fields{"dataCentre": s.status.DataCentre, "evacuated": evacuating, "pendingStarts": pending}).Info("evacuation of the data centre")
	}
}

// adoptRun records the hints of a run that has not ended since the inventory.
func (s *session) adoptRun(ctx context.Context, o dispatch.Adopt) {
	k := runKey{o.Task, o.Run}
	s.mu.Lock()
	running := s.running[k]
	if running {
		s.hints[k] = o.Hints
	}
	s.mu.Unlock()
	if running {
		s.watchIsolation(ctx, k, o.Hints.Isolation)
	}
}

// updateListedEnds records the ends that the executor lists. The executor has
// discarded the ends before the first listed one, so these count as acknowledged.
// s.mu must be held.
func (s *session) updateListedEnds(ends []oleandervalve.EndedTask) {
	clear(s.listedEnds)
	s.firstListedEnd = 0
	for i, e := range ends {
		s.listedEnds[runKey{e.Task, e.Run}] = true
		if i == 0 || e.Number < s.firstListedEnd {
			s.firstListedEnd = e.Number
		}
		if i == 0 && e.Number > s.lastAcknowledgedEnd+1 {
			s.lastAcknowledgedEnd = e.Number - 1
		}
	}
	s.advanceLastAcknowledgedEnd()
}

// advanceLastAcknowledgedEnd advances lastAcknowledgedEnd to the last number before the
// first end that is not acknowledged. s.mu must be held.
func (s *session) advanceLastAcknowledgedEnd() {
	for s.acknowledgedEnds[s.lastAcknowledgedEnd+1] {
		delete(s.acknowledgedEnds, s.lastAcknowledgedEnd+1)
		s.lastAcknowledgedEnd++
	}
}

func (s *session) acknowledgeEnd(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledgedEnds[n] = true
	s.advanceLastAcknowledgedEnd()
	s.pollSoon()
}
