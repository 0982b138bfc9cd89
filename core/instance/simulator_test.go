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
	simAgents          = 11
	simSlots           = 8
	simCapacity        = simAgents * simSlots
	simNetworkDelay    = 500 * time.Microsecond
	simMeanServiceTime = 20 * time.Millisecond
	simWarmup          = time.Second
	simEnd             = 4 * time.Second
	simService         = "formaro"
)

// routing is the policy by which entries choose endpoints.
type routing string

const (
	withCredits routing = "credits"
	// fifoLeastConnections is the baseline: requests are sent in the order of
	// arrival to the endpoint with the fewest connections of the entry, where
	// they may queue.
	fifoLeastConnections routing = "first-come-first-served, least connections"
	// powerOfTwoChoices and leastConnections send without credits; a full
	// endpoint refuses.
	powerOfTwoChoices routing = "power of two choices"
	leastConnections  routing = "least connections"
)

type simClass struct {
	policy  caller.ClassPolicy
	rate    float64
	timeout time.Duration
}

type simRequest struct {
	caller.Request
	class       int
	serviceTime time.Duration
	measured    bool
	answered    bool
	attempts    int
	assignment  endpoint.Assignment
	entry       *simEntry
	agent       *simAgent
	sentAt      time.Duration
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

// sim is a deterministic simulation of two entries and 11 endpoints with 8
// slots each.
type sim struct {
	routing   routing
	classes   []simClass
	events    eventHeap
	sequence  int
	now       time.Duration
	random    *rand.Rand
	entries   []*simEntry
	agents    []*simAgent
	entryByID map[oleandervalve.EntryID]*simEntry
	agentByID map[oleandervalve.AgentID]*simAgent
	results   []simResult
	requests  []*simRequest
	serial    int
	refused   int
	slotTime  time.Duration
}

type simEntry struct {
	sim         *sim
	id          oleandervalve.EntryID
	queue       *caller.Queue
	dir         *endpoint.Directory
	unanswered  map[oleandervalve.RequestID]*simRequest
	fifo        []*simRequest
	inFlight    []int
	expiryTimer time.Duration
}

type simAgent struct {
	sim        *sim
	index      int
	id         oleandervalve.AgentID
	ledger     *instance.Ledger
	running    int
	waiting    []*simRequest
	lastChange time.Duration
}

func newSim(seed uint64, r routing, classes []simClass) *sim {
	s := &sim{
		routing: r, classes: classes, random: rand.New(rand.NewPCG(seed, 99)),
		entryByID: map[oleandervalve.EntryID]*simEntry{}, agentByID: map[oleandervalve.AgentID]*simAgent{},
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
			unanswered: map[oleandervalve.RequestID]*simRequest{}, inFlight: make([]int, simAgents), expiryTimer: math.MaxInt64,
		}
		e.queue.Configure(policies)
		s.entries = append(s.entries, e)
		s.entryByID[e.id] = e
	}
	for i := range simAgents {
		a := &simAgent{sim: s, index: i, id: oleandervalve.AgentID(fmt.Sprintf("agent%02d", i)), ledger: instance.NewLedger()}
		a.ledger.Configure(simService, shares)
		s.agents = append(s.agents, a)
		s.agentByID[a.id] = a
		for j, e := range s.entries {
			a.ledger.Connect(s.time(), e.id, oleandervalve.ConnectionEpoch(j+1))
			e.dir.Connect(s.time(), a.id, oleandervalve.ConnectionEpoch(j+1), oleandervalve.Location{})
			e.dir.Update(s.time(), a.id, oleandervalve.ConnectionEpoch(j+1), true, []endpoint.Status{{Endpoint: a.endpoint(), Service: simService, Slots: simSlots}})
		}
		s.tick(a)
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

// utilisation is the share of slot time in use during the measurement.
func (s *sim) utilisation() float64 {
	return float64(s.slotTime) / float64(simCapacity) / float64(simEnd-simWarmup)
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
			serviceTime: time.Duration(float64(simMeanServiceTime) * math.Exp(0.6*random.NormFloat64()-0.18)),
		}
		if r.measured {
			s.results[class].offered++
		}
		e.arrive(r)
		s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
}

// answer records the outcome for the caller; calls after the first have no
// effect.
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
		e.unanswered[r.ID] = r
	} else {
		if len(e.fifo) >= 10_000 {
			s.answer(r, false)
			return
		}
		e.fifo = append(e.fifo, r)
		s.after(r.Deadline.Sub(s.time()), func() { s.answer(r, false) })
	}
	s.requests = append(s.requests, r)
	e.dispatch()
}

func (e *simEntry) dispatch() {
	if e.sim.routing == withCredits {
		e.dispatchWithCredits()
		return
	}
	for len(e.fifo) > 0 {
		r := e.fifo[0]
		if r.answered {
			e.fifo = e.fifo[1:]
			continue
		}
		a := e.chooseAgent()
		if a == nil {
			return
		}
		e.fifo = e.fifo[1:]
		e.inFlight[a.index]++
		r.agent = a
		e.sim.after(simNetworkDelay, func() { a.receive(r) })
	}
}

// chooseAgent picks an agent by the entry's own requests in flight, or returns
// nil if all endpoints seem full.
func (e *simEntry) chooseAgent() *simAgent {
	limit := simSlots
	if e.sim.routing == fifoLeastConnections {
		limit = 32
	}
	best := -1
	for i := range e.inFlight {
		if e.inFlight[i] < limit && (best < 0 || e.inFlight[i] < e.inFlight[best]) {
			best = i
		}
	}
	if best >= 0 && e.sim.routing == powerOfTwoChoices {
		a, b := e.sim.random.IntN(simAgents), e.sim.random.IntN(simAgents)
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
	return e.sim.agents[best]
}

func (e *simEntry) dispatchWithCredits() {
	s := e.sim
	for {
		q, a, ok := e.dir.Next(s.time(), simService, e.queue)
		if !ok {
			break
		}
		r := e.unanswered[q.ID]
		r.assignment, r.agent, r.sentAt = a, s.agentByID[a.Agent], s.now
		r.attempts++
		s.after(simNetworkDelay, func() { r.agent.receive(r) })
		// The caller gets the outcome "unknown" if no answer arrives in time.
		s.after(r.Deadline.Sub(s.time()), func() { s.answer(r, false) })
	}
	e.returnCredits(e.dir.TakeSurplus(simService))
	for _, d := range e.dir.DemandUpdates(s.time(), e.queue.Demand(simService)) {
		a := s.agentByID[d.Agent]
		s.after(simNetworkDelay, func() {
			a.ledger.Demand(s.time(), e.id, d.Epoch, d.Classes)
			a.sendGrants()
		})
	}
	if at, ok := e.queue.NextExpiry(s.time()); ok && at.Sub(start) < e.expiryTimer {
		e.expiryTimer = at.Sub(start)
		s.after(max(0, e.expiryTimer-s.now), e.expire)
	}
}

func (e *simEntry) expire() {
	e.expiryTimer = math.MaxInt64
	for _, q := range e.queue.Expire(e.sim.time()) {
		e.sim.answer(e.unanswered[q.ID], false)
		delete(e.unanswered, q.ID)
	}
	e.dispatch()
}

func (e *simEntry) returnCredits(list []endpoint.CreditReturn) {
	for _, r := range list {
		a := e.sim.agentByID[r.Agent]
		e.sim.after(simNetworkDelay, func() {
			a.ledger.Return(e.sim.time(), e.id, r.Epoch, r.Endpoint, r.Class, r.Count)
			a.sendGrants()
		})
	}
}

func (a *simAgent) endpoint() oleandervalve.EndpointID { return oleandervalve.EndpointID(a.id) }

// tick runs the timers of an agent and of the entries' connections to it.
func (s *sim) tick(a *simAgent) {
	_ = a.ledger.Announce(s.time(), oleandervalve.Announcement{Endpoint: a.endpoint(), Service: simService, Slots: simSlots, Connections: 64})
	a.ledger.Tick(s.time())
	for j, e := range s.entries {
		e.dir.Heartbeat(s.time(), a.id, oleandervalve.ConnectionEpoch(j+1))
		e.returnCredits(e.dir.Expire(s.time()))
	}
	a.sendGrants()
	s.after(250*time.Millisecond, func() { s.tick(a) })
}

// sendGrants sends the ledger's grants and revocations to the entries.
func (a *simAgent) sendGrants() {
	s := a.sim
	if s.routing != withCredits {
		return
	}
	for _, g := range a.ledger.Grants(s.time()) {
		e := s.entryByID[g.Entry]
		s.after(simNetworkDelay, func() {
			e.returnCredits(e.dir.AddCredits(s.time(), a.id, g.Epoch, g.Endpoint, g.Class, g.Count, g.ValidFor))
			e.dispatch()
		})
	}
	for _, r := range a.ledger.Revokes(s.time()) {
		e := s.entryByID[r.Entry]
		s.after(simNetworkDelay, func() { e.returnCredits(e.dir.Revoke(s.time(), a.id, r.Epoch, r.Endpoint, r.Count)) })
	}
}

func (a *simAgent) receive(r *simRequest) {
	s, e := a.sim, r.entry
	switch {
	case s.routing == withCredits:
		id := oleandervalve.RequestID(fmt.Sprint(r.ID, ".", r.attempts))
		err := a.ledger.Admit(s.time(), instance.Admission{
			ID: id, Entry: e.id, Epoch: r.assignment.Epoch, Endpoint: r.assignment.Endpoint, Class: r.Class, Deadline: r.Deadline,
		})
		if err == nil {
			err = a.ledger.Begin(s.time(), e.id, r.assignment.Epoch, id)
		}
		if err != nil {
			a.refuse(r)
			return
		}
		a.changeRunning(1)
		s.after(r.serviceTime, func() {
			a.ledger.Finish(s.time(), e.id, r.assignment.Epoch, id)
			a.finish(r)
		})
		a.sendGrants()
	case a.running < simSlots:
		a.start(r)
	case s.routing == fifoLeastConnections:
		a.waiting = append(a.waiting, r)
	default:
		a.refuse(r)
	}
}

func (a *simAgent) refuse(r *simRequest) {
	a.sim.refused++
	a.sim.after(simNetworkDelay, func() { r.entry.refused(r) })
	a.sendGrants()
}

func (a *simAgent) start(r *simRequest) {
	a.changeRunning(1)
	a.sim.after(r.serviceTime, func() { a.finish(r) })
}

// changeRunning changes the number of running requests and adds up the slot
// time in use.
func (a *simAgent) changeRunning(by int) {
	from, to := max(a.lastChange, simWarmup), min(a.sim.now, simEnd)
	if to > from {
		a.sim.slotTime += time.Duration(a.running) * (to - from)
	}
	a.running, a.lastChange = a.running+by, a.sim.now
	if a.running > simSlots {
		panic("more requests than slots")
	}
}

func (a *simAgent) finish(r *simRequest) {
	s, e := a.sim, r.entry
	a.changeRunning(-1)
	s.after(simNetworkDelay, func() {
		s.answer(r, true)
		if s.routing != withCredits {
			e.inFlight[a.index]--
		} else {
			e.dir.RecordResult(s.time(), r.assignment, true, s.now-r.sentAt)
			e.queue.Finished(s.time(), r.Class, s.now-r.sentAt)
			delete(e.unanswered, r.ID)
		}
		e.dispatch()
	})
	a.sendGrants()
	if len(a.waiting) > 0 {
		next := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.start(next)
	}
}

// refused requeues a request that an agent refused, which means that it did not
// run.
func (e *simEntry) refused(r *simRequest) {
	s := e.sim
	if s.routing != withCredits {
		e.inFlight[r.agent.index]--
		e.fifo = append([]*simRequest{r}, e.fifo...)
	} else {
		e.dir.RecordRefusal(r.assignment)
		if e.queue.Requeue(s.time(), r.Request) != nil {
			s.answer(r, false)
			delete(e.unanswered, r.ID)
		}
	}
	e.dispatch()
}
