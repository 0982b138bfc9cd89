package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/pacing"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

const (
	// sessionDialTimeout bounds the opening of a connection and its admission.
	sessionDialTimeout = 700 * time.Millisecond
	// inventoryTimeout bounds the first look at the executor.
	inventoryTimeout = 700 * time.Millisecond
	// pingEvery is the period of signs of life, which carry proofs of leadership.
	pingEvery = 700 * time.Millisecond
	// parallelOrders bounds the orders on their way to the executor.
	parallelOrders = 3
	// firstOrderTimeout is the time for an answer to an order; it doubles up to longestOrderTimeout.
	firstOrderTimeout   = 300 * time.Millisecond
	longestOrderTimeout = 1200 * time.Millisecond
)

// runKey identifies one run of a task.
type runKey struct {
	task oleandervalve.TaskName
	run  oleandervalve.RunNumber
}

// sentPing is a ping whose answer will prove leadership as of its sending.
type sentPing struct {
	sequence uint64
	at       time.Time
}

// session is the time between the admission by a leader and the loss of its
// connection, of the executor's incarnation or of the fence.
type session struct {
	agent  *Agent
	conn   *peer.Conn
	status oleandervalve.ExecutorStatus
	token  oleandervalve.FencingToken
	cancel context.CancelCauseFunc
	orders chan struct{}

	mu sync.Mutex
	// proofAt is the latest time as of which leadership is proved.
	proofAt time.Time
	pings   []sentPing
	// clock and clockAt relate the executor's clock to ours.
	clock   oleandervalve.ExecutorTime
	clockAt time.Time
	// leaseEnd is when the executor's lease has ended for certain.
	leaseEnd time.Time
	reported uint64
	// acknowledged holds the numbers of ends that the leader has recorded beyond lastSeen.
	acknowledged map[uint64]bool
	lastSeen     uint64
	traits       map[runKey]dispatch.RunHints
	running      map[runKey]bool
	starting     map[runKey]*starting
	// stopped holds stop orders that the executor has confirmed, until a later
	// list shows whether the run was there.
	stopped map[runKey]time.Time
	ended   map[runKey]bool
	// progress follows how far each run has come.
	progress map[runKey]*progress
	// pacers holds the throttle controller of each best-effort image.
	pacers map[oleandervalve.KindName]*pacing.Controller
	// light holds the pairs of images that are known not to interfere.
	light map[contention.Pair]bool
	// saved holds the newest checkpoints, and unsent those that the leader does not
	// know yet.
	saved  map[runKey]string
	unsent map[runKey]string
	// sample is the newest sample for the leader.
	sample contention.Sample
	paced  map[runKey]int
	// wakeHold ends the pause before the next look at the executor.
	wakeHold chan struct{}
}

// starting is a start order on its way.
type starting struct {
	done    chan struct{}
	stopped bool
}

func (s *session) end(reason string) { s.cancel(errors.New(reason)) }

func (s *session) log() *logrus.Entry {
	return s.agent.options.Log.WithFields(logrus.Fields{"executor": s.status.Incarnation.ID, "token": s.token})
}

func (s *session) statusChanged(st oleandervalve.ExecutorStatus) {
	s.conn.TrySend(&peer.ExecutorChange{Status: st})
}

func (s *session) lost() {
	s.conn.TrySend(&peer.ExecutorTerminated{Incarnation: s.status.Incarnation})
}

// runSession runs one session with the entry at an address and returns the
// address to try next, if it is known.
func (a *Agent) runSession(ctx context.Context, address string) (string, error) {
	if address == "" {
		return "", errors.New("no entry is known: check the seeds in the settings")
	}
	call, cancelCall := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancelCall()
	c, err := peer.DialDispatch(call, address, peer.Join{Agent: a.options.ID})
	if err != nil {
		return "", err
	}
	defer c.Close()
	m, err := c.Receive(call)
	if err != nil {
		return "", err
	}
	if r, ok := m.(*peer.Redirect); ok {
		return r.Leader, nil
	}
	admit, ok := m.(*peer.Admit)
	if !ok {
		return "", &peer.FrameError{Detail: "admission expected, got " + string(m.Type())}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		agent: a, conn: c, token: admit.Token, cancel: cancel, orders: make(chan struct{}, parallelOrders),
		acknowledged: map[uint64]bool{}, traits: map[runKey]dispatch.RunHints{}, running: map[runKey]bool{},
		starting: map[runKey]*starting{}, stopped: map[runKey]time.Time{}, ended: map[runKey]bool{},
		saved: map[runKey]string{}, unsent: map[runKey]string{}, pacers: map[oleandervalve.KindName]*pacing.Controller{}, progress: map[runKey]*progress{}, light: map[contention.Pair]bool{}, paced: map[runKey]int{}, wakeHold: make(chan struct{}, 1),
	}
	a.mu.Lock()
	s.status = a.status
	if a.paces != nil && a.paces.incarnation == s.status.Incarnation {
		s.recall(a.paces)
	}
	if len(admit.Entries) > 0 {
		a.entries = admit.Entries
	}
	a.mu.Unlock()
	if err := s.takeInventory(ctx); err != nil {
		return address, err
	}
	a.mu.Lock()
	if a.status.Incarnation != s.status.Incarnation {
		a.mu.Unlock()
		return address, errors.New("executor was replaced during the admission")
	}
	a.session = s
	if a.status.State != s.status.State {
		s.statusChanged(a.status)
	}
	a.mu.Unlock()
	defer func() {
		kept := s.paceMemory()
		a.mu.Lock()
		a.session, a.paces = nil, kept
		a.mu.Unlock()
	}()
	s.log().WithField("entry", address).Info("session begins")
	go s.ping(ctx)
	go s.hold(ctx)
	go func() {
		<-ctx.Done()
		c.Close()
	}()
	next, err := s.receive(ctx)
	if cause := context.Cause(ctx); cause != nil {
		return address, cause
	}
	return next, err
}

// takeInventory fences all earlier orders and reports what the executor runs.
func (s *session) takeInventory(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	sent := s.agent.options.Clock.Now()
	h, err := s.agent.options.Executor.Hold(call, s.status.Incarnation.ID, oleandervalve.HoldRequest{Token: s.token})
	if err != nil {
		return err
	}
	if h.Born != 0 && h.Born != s.status.Incarnation.Born {
		return &oleandervalve.WrongIncarnationError{ID: s.status.Incarnation.ID}
	}
	s.mu.Lock()
	s.clock, s.clockAt = h.Clock, sent
	// A lease that an earlier session has extended ends at the latest now.
	s.leaseEnd = sent.Add(s.slow(s.agent.lease))
	for _, r := range h.Running {
		k := runKey{r.Task, r.Run}
		s.running[k] = true
		if _, ok := s.paced[k]; !ok {
			s.paced[k] = unknownPace
		}
	}
	s.listEnds(h.Ended)
	for _, e := range h.Ended {
		s.reported = max(s.reported, e.Number)
	}
	s.mu.Unlock()
	return s.conn.Send(&peer.ExecutorInventory{Status: s.status, Running: h.Running, Ended: h.Ended})
}

// slow is the longest real time in which the executor's clock counts d: it may be 2% slow.
func (s *session) slow(d time.Duration) time.Duration { return d * 103 / 100 }

func (s *session) ping(ctx context.Context) {
	t := s.agent.options.Clock.NewTicker(pingEvery)
	defer t.Stop()
	for n := uint64(1); ; n++ {
		s.mu.Lock()
		s.pings = append(s.pings, sentPing{n, s.agent.options.Clock.Now()})
		sample := s.sample
		s.sample = contention.Sample{}
		saved := s.takeSaved()
		s.mu.Unlock()
		s.conn.TrySend(&peer.Ping{Sequence: n, Sample: sample, Checkpoints: saved})
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (s *session) pong(p *peer.Pong) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pings) > 0 {
		first := s.pings[0]
		if first.sequence > p.Sequence {
			return
		}
		s.pings = s.pings[1:]
		if first.sequence == p.Sequence {
			if at := first.at.Add(-p.ProofAge); at.After(s.proofAt) {
				s.proofAt = at
			}
		}
	}
}

// receive handles the leader's messages until the connection ends.
func (s *session) receive(ctx context.Context) (string, error) {
	for {
		call, cancel := context.WithTimeout(ctx, leader.HeartbeatTimeout)
		m, err := s.conn.Receive(call)
		cancel()
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *peer.Pong:
			s.pong(m)
		case *peer.StartRun:
			s.start(ctx, m.Start)
		case *peer.StopRun:
			s.stop(ctx, m.Stop)
		case *peer.AdoptRun:
			s.mu.Lock()
			s.traits[runKey{m.Task, m.Run}] = m.Hints
			s.mu.Unlock()
		case *peer.ShareContention:
			light := make(map[contention.Pair]bool, len(m.NonInterfering))
			for _, p := range m.NonInterfering {
				light[p] = true
			}
			s.mu.Lock()
			s.light = light
			s.mu.Unlock()
		case *peer.AcknowledgeEnd:
			if m.Executor == s.status.Incarnation {
				s.acknowledge(m.Number)
			}
		case *peer.Redirect:
			return m.Leader, nil
		default:
			s.log().WithField("type", m.Type()).Warn("unexpected message is left out")
		}
	}
}

// listEnds takes the ends that the executor lists; the lock is held. It has
// forgotten those before the first of them.
func (s *session) listEnds(ends []oleandervalve.EndedTask) {
	clear(s.ended)
	for i, e := range ends {
		s.ended[runKey{e.Task, e.Run}] = true
		if i == 0 && e.Number > s.lastSeen+1 {
			s.lastSeen = e.Number - 1
		}
	}
	s.advance()
}

// advance moves lastSeen over the acknowledged numbers; the lock is held.
func (s *session) advance() {
	for s.acknowledged[s.lastSeen+1] {
		delete(s.acknowledged, s.lastSeen+1)
		s.lastSeen++
	}
}

func (s *session) acknowledge(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged[n] = true
	s.advance()
	s.poke()
}
