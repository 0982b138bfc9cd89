package instance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/core/credit"
	"oleandervalve/core/endpoint"
	"oleandervalve/core/instance"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	simNodes    = 11
	simSlots    = 8
	simCapacity = simNodes * simSlots
	simWay      = 500 * time.Microsecond
	simMean     = 20 * time.Millisecond
	simWarmup   = time.Second
	simEnd      = 4 * time.Second
	simService  = "formaro"
)

// routing is how entries choose endpoints.
type routing string

const (
	withCredits routing = "credits"
	// fifoLeast is the baseline: first come, first served, and the endpoint with
	// the fewest of the entry's connections, which queue at the endpoint.
	fifoLeast routing = "first-come-first-served, least connections"
	// pickTwo and pickLeast send without credits; a full endpoint refuses.
	pickTwo   routing = "power of two choices"
	pickLeast routing = "least connections"
)

type simClass struct {
	policy  caller.ClassPolicy
	rate    float64
	timeout time.Duration
}

type simRequest struct {
	caller.Request
	class    int
	service  time.Duration
	measured bool
	answered bool
	attempts int
	at       endpoint.Assignment
	entry    *simEntry
	node     *simNode
	sentAt   time.Duration
}

type simResult struct {
	offered, answered, late int
	latency                 *hdrhistogram.Histogram
}

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// sim is the deterministic driver: two entries, 11 endpoints with 8 slots.
type sim struct {
	routing  routing
	classes  []simClass
	events   eventHeap
	sequence int
	now      time.Duration
	random   *rand.Rand
	entries  []*simEntry
	nodes    []*simNode
	entry    map[oleandervalve.EntryID]*simEntry
	node     map[oleandervalve.AgentID]*simNode
	results  []simResult
	requests []*simRequest
	serial   int
	refused  int
	busy     time.Duration
}

type simEntry struct {
	sim      *sim
	id       oleandervalve.EntryID
	queue    *caller.Queue
	dir      *endpoint.Directory
	open     map[oleandervalve.RequestID]*simRequest
	fifo     []*simRequest
	inFlight []int
	timer    time.Duration
}

type simNode struct {
	sim     *sim
	index   int
	id      oleandervalve.AgentID
	ledger  *instance.Ledger
	running int
	waiting []*simRequest
	since   time.Duration
}

func newSim(seed uint64, r routing, classes []simClass) *sim {
	s := &sim{
		routing: r, classes: classes, random: rand.New(rand.NewPCG(seed, 99)),
		entry: map[oleandervalve.EntryID]*simEntry{}, node: map[oleandervalve.AgentID]*simNode{},
	}
	var policies []caller.ClassPolicy
	var shares []credit.ClassShare
	for _, c := range classes {
		policies = append(policies, c.policy)
		shares = append(shares, credit.ClassShare{Class: c.policy.Class, Weight: c.policy.Weight, Floor: c.policy.Floor})
		s.results = append(s.results, simResult{latency: hdrhistogram.New(1, 60_000_000, 3)})
	}
	for i := range 2 {
		e := &simEntry{
			sim: s, id: oleandervalve.EntryID(fmt.Sprint("entry", i)), queue: caller.NewQueue(), dir: endpoint.NewDirectory(),
			open: map[oleandervalve.RequestID]*simRequest{}, inFlight: make([]int, simNodes), timer: math.MaxInt64,
		}
		e.queue.Configure(policies)
		s.entries = append(s.entries, e)
		s.entry[e.id] = e
	}
	for i := range simNodes {
		n := &simNode{sim: s, index: i, id: oleandervalve.AgentID(fmt.Sprintf("agent%02d", i)), ledger: instance.NewLedger()}
		n.ledger.Configure(simService, shares)
		s.nodes = append(s.nodes, n)
		s.node[n.id] = n
		for j, e := range s.entries {
			n.ledger.Connect(s.time(), e.id, oleandervalve.ConnectionEpoch(j+1))
			e.dir.Connect(s.time(), n.id, oleandervalve.ConnectionEpoch(j+1), oleandervalve.Location{})
			e.dir.Update(s.time(), n.id, oleandervalve.ConnectionEpoch(j+1), true, []endpoint.Status{{Endpoint: n.endpoint(), Service: simService, Slots: simSlots}})
		}
		s.tick(n)
	}
	for i, c := range classes {
		for j, e := range s.entries {
			s.arrivals(e, i, c.rate/2, rand.New(rand.NewPCG(seed, uint64(2*i+j))))
		}
	}
	return s
}

func (s *sim) time() time.Time { return start.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, run})
}

func (s *sim) run() {
	for len(s.events) > 0 && s.now < simEnd+5*time.Second {
		x := heap.Pop(&s.events).(simEvent)
		s.now = x.at
		x.run()
	}
	for _, r := range s.requests {
		if !r.answered {
			s.results[r.class].late++
		}
	}
}

// utilisation is the share of the slots' time in use during the measurement.
func (s *sim) utilisation() float64 {
	return float64(s.busy) / float64(simCapacity) / float64(simEnd-simWarmup)
}

func (s *sim) arrivals(e *simEntry, class int, rate float64, random *rand.Rand) {
	var next func()
	next = func() {
		if s.now >= simEnd {
			return
		}
		s.serial++
		c := s.classes[class]
		team := random.IntN(20)
		r := &simRequest{
			Request: caller.Request{
				ID: oleandervalve.RequestID(fmt.Sprint("r", s.serial)), Class: c.policy.Class,
				Team:    oleandervalve.TeamID(fmt.Sprint("team", team)),
				Caller:  oleandervalve.CallerID(fmt.Sprint("caller", team, random.IntN(3))),
				Arrived: s.time(), Deadline: s.time().Add(c.timeout),
			},
			entry: e, class: class, measured: s.now >= simWarmup,
			service: time.Duration(float64(simMean) * math.Exp(0.6*random.NormFloat64()-0.18)),
		}
		if r.measured {
			s.results[class].offered++
		}
		e.arrive(r)
		s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
}

// answer records the outcome for the caller once, whatever follows.
func (s *sim) answer(r *simRequest, ok bool) {
	if r.answered {
		return
	}
	r.answered = true
	if s.time().After(r.Deadline) {
		s.results[r.class].late++
	}
	if ok && r.measured {
		s.results[r.class].answered++
		_ = s.results[r.class].latency.RecordValue(s.time().Sub(r.Arrived).Microseconds())
	}
}

func (e *simEntry) arrive(r *simRequest) {
	s := e.sim
	if s.routing == withCredits {
		if e.queue.Push(s.time(), r.Request) != nil {
			s.answer(r, false)
			return
		}
		e.open[r.ID] = r
	} else {
		if len(e.fifo) >= 10_000 {
			s.answer(r, false)
			return
		}
		e.fifo = append(e.fifo, r)
		s.after(r.Deadline.Sub(s.time()), func() { s.answer(r, false) })
	}
	s.requests = append(s.requests, r)
	e.pump()
}

func (e *simEntry) pump() {
	if e.sim.routing == withCredits {
		e.pumpCredits()
		return
	}
	for len(e.fifo) > 0 {
		r := e.fifo[0]
		if r.answered {
			e.fifo = e.fifo[1:]
			continue
		}
		n := e.choose()
		if n == nil {
			return
		}
		e.fifo = e.fifo[1:]
		e.inFlight[n.index]++
		r.node = n
		e.sim.after(simWay, func() { n.receive(r) })
	}
}

// choose picks an endpoint from the entry's own view, or nil if all seem full.
func (e *simEntry) choose() *simNode {
	limit := simSlots
	if e.sim.routing == fifoLeast {
		limit = 32
	}
	best := -1
	for i := range e.inFlight {
		if e.inFlight[i] < limit && (best < 0 || e.inFlight[i] < e.inFlight[best]) {
			best = i
		}
	}
	if best >= 0 && e.sim.routing == pickTwo {
		a, b := e.sim.random.IntN(simNodes), e.sim.random.IntN(simNodes)
		if e.inFlight[b] < e.inFlight[a] {
			a = b
		}
		if e.inFlight[a] < limit {
			best = a
		}
	}
	if best < 0 {
		return nil
	}
	return e.sim.nodes[best]
}

func (e *simEntry) pumpCredits() {
	s := e.sim
	for {
		q, a, ok := e.dir.Next(s.time(), simService, e.queue)
		if !ok {
			break
		}
		r := e.open[q.ID]
		r.at, r.node, r.sentAt = a, s.node[a.Agent], s.now
		r.attempts++
		s.after(simWay, func() { r.node.receive(r) })
		// The caller gets the outcome unknown if no answer arrives in time.
		s.after(r.Deadline.Sub(s.time()), func() { s.answer(r, false) })
	}
	e.giveBack(e.dir.Surplus(simService))
	for _, d := range e.dir.Demands(s.time(), e.queue.Demand(simService)) {
		n := s.node[d.Agent]
		s.after(simWay, func() {
			n.ledger.Demand(s.time(), e.id, d.Epoch, d.Classes)
			n.kick()
		})
	}
	if at, ok := e.queue.NextExpiry(s.time()); ok && at.Sub(start) < e.timer {
		e.timer = at.Sub(start)
		s.after(max(0, e.timer-s.now), e.expire)
	}
}

func (e *simEntry) expire() {
	e.timer = math.MaxInt64
	for _, q := range e.queue.Expire(e.sim.time()) {
		e.sim.answer(e.open[q.ID], false)
		delete(e.open, q.ID)
	}
	e.pump()
}

func (e *simEntry) giveBack(list []endpoint.CreditReturn) {
	for _, r := range list {
		n := e.sim.node[r.Agent]
		e.sim.after(simWay, func() {
			n.ledger.Return(e.sim.time(), e.id, r.Epoch, r.Endpoint, r.Class, r.Count)
			n.kick()
		})
	}
}

func (n *simNode) endpoint() oleandervalve.EndpointID { return oleandervalve.EndpointID(n.id) }

// tick stands for the timers of an agent and of the entries' connections to it.
func (s *sim) tick(n *simNode) {
	_ = n.ledger.Announce(s.time(), oleandervalve.Announcement{Endpoint: n.endpoint(), Service: simService, Slots: simSlots, Connections: 64})
	n.ledger.Tick(s.time())
	for j, e := range s.entries {
		e.dir.Heartbeat(s.time(), n.id, oleandervalve.ConnectionEpoch(j+1))
		e.giveBack(e.dir.Expire(s.time()))
	}
	n.kick()
	s.after(250*time.Millisecond, func() { s.tick(n) })
}

func (n *simNode) kick() {
	s := n.sim
	if s.routing != withCredits {
		return
	}
	for _, g := range n.ledger.Grants(s.time()) {
		e := s.entry[g.Entry]
		s.after(simWay, func() {
			e.giveBack(e.dir.Credit(s.time(), n.id, g.Epoch, g.Endpoint, g.Class, g.Count, g.ValidFor))
			e.pump()
		})
	}
	for _, r := range n.ledger.Revokes(s.time()) {
		e := s.entry[r.Entry]
		s.after(simWay, func() { e.giveBack(e.dir.Revoke(s.time(), n.id, r.Epoch, r.Endpoint, r.Count)) })
	}
}

func (n *simNode) receive(r *simRequest) {
	s, e := n.sim, r.entry
	switch {
	case s.routing == withCredits:
		id := oleandervalve.RequestID(fmt.Sprint(r.ID, ".", r.attempts))
		err := n.ledger.Admit(s.time(), instance.Admission{
			ID: id, Entry: e.id, Epoch: r.at.Epoch, Endpoint: r.at.Endpoint, Class: r.Class, Deadline: r.Deadline,
		})
		if err == nil {
			err = n.ledger.Begin(s.time(), e.id, r.at.Epoch, id)
		}
		if err != nil {
			n.refuse(r)
			return
		}
		n.count(1)
		s.after(r.service, func() {
			n.ledger.Finish(s.time(), e.id, r.at.Epoch, id)
			n.finished(r)
		})
		n.kick()
	case n.running < simSlots:
		n.start(r)
	case s.routing == fifoLeast:
		n.waiting = append(n.waiting, r)
	default:
		n.refuse(r)
	}
}

func (n *simNode) refuse(r *simRequest) {
	n.sim.refused++
	n.sim.after(simWay, func() { r.entry.refused(r) })
	n.kick()
}

func (n *simNode) start(r *simRequest) {
	n.count(1)
	n.sim.after(r.service, func() { n.finished(r) })
}

// count changes the number of running requests and sums up the time in use.
func (n *simNode) count(by int) {
	from, to := max(n.since, simWarmup), min(n.sim.now, simEnd)
	if to > from {
		n.sim.busy += time.Duration(n.running) * (to - from)
	}
	n.running, n.since = n.running+by, n.sim.now
	if n.running > simSlots {
		panic("more requests than slots")
	}
}

func (n *simNode) finished(r *simRequest) {
	s, e := n.sim, r.entry
	n.count(-1)
	s.after(simWay, func() {
		s.answer(r, true)
		if s.routing != withCredits {
			e.inFlight[n.index]--
		} else {
			e.dir.Result(s.time(), r.at, true, s.now-r.sentAt)
			e.queue.Finished(s.time(), r.Class, s.now-r.sentAt)
			delete(e.open, r.ID)
		}
		e.pump()
	})
	n.kick()
	if len(n.waiting) > 0 {
		w := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.start(w)
	}
}

// refused puts a request back that an agent proved not to have run.
func (e *simEntry) refused(r *simRequest) {
	s := e.sim
	if s.routing != withCredits {
		e.inFlight[r.node.index]--
		e.fifo = append([]*simRequest{r}, e.fifo...)
	} else {
		e.dir.Refused(r.at)
		if e.queue.Requeue(s.time(), r.Request) != nil {
			s.answer(r, false)
			delete(e.open, r.ID)
		}
	}
	e.pump()
}
