package instance_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/core/credit"
	"oleandervalve/core/endpoint"
	"oleandervalve/core/instance"

	"pgregory.net/rapid"
)

// The seed of the property tests is fixed, so that all runs are the same.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// frame delivers a message in flight; it may be called late, twice or never.
type frame func()

type attempt struct {
	request    caller.Request
	wireID     oleandervalve.RequestID
	assignment endpoint.Assignment
}

type testEntry struct {
	id         oleandervalve.EntryID
	queue      *caller.Queue
	dir        *endpoint.Directory
	paused     time.Time
	unanswered map[oleandervalve.RequestID]*attempt
	sent       []*attempt
}

// execution is an admitted attempt at its agent.
type execution struct {
	*attempt
	entry *testEntry
	begun bool
}

type testAgent struct {
	id        oleandervalve.AgentID
	ledger    *instance.Ledger
	endpoints []oleandervalve.Announcement
	leaving   map[oleandervalve.EndpointID]bool
	epochs    map[oleandervalve.EntryID]oleandervalve.ConnectionEpoch
	running   []*execution
}

// cluster simulates two agents and two entries with an unreliable network. It
// counts executions independently of the ledgers.
type cluster struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Time
	entries   []*testEntry
	agents    []*testAgent
	entryByID map[oleandervalve.EntryID]*testEntry
	agentByID map[oleandervalve.AgentID]*testAgent
	inFlight  []frame
	// duplicates holds frames that were delivered once and will be delivered
	// again.
	duplicates []frame
	epoch      oleandervalve.ConnectionEpoch
	serial     int
	runCounts  map[oleandervalve.RequestID]int
	notRun     map[oleandervalve.RequestID]bool
	pending    map[oleandervalve.RequestID]time.Time
}

var testClasses = []caller.ClassPolicy{{Class: "a", Weight: 3, Floor: 0.3}, {Class: "b", Weight: 1, Floor: 0.2}, {Class: "c"}}

// pick returns a uniformly distributed number below n. The integers of rapid
// favour small values, with which most histories would never run a request.
func (cl *cluster) pick(n int) int { return cl.random.IntN(n) }

func newCluster(t *rapid.T) *cluster {
	cl := &cluster{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: start, runCounts: map[oleandervalve.RequestID]int{},
		notRun: map[oleandervalve.RequestID]bool{}, pending: map[oleandervalve.RequestID]time.Time{},
		entryByID: map[oleandervalve.EntryID]*testEntry{}, agentByID: map[oleandervalve.AgentID]*testAgent{},
	}
	for i := range 2 {
		e := &testEntry{
			id: oleandervalve.EntryID(fmt.Sprint("entry", i)), queue: caller.NewQueue(),
			dir: endpoint.NewDirectory(), unanswered: map[oleandervalve.RequestID]*attempt{},
		}
		e.queue.Configure(testClasses)
		cl.entries = append(cl.entries, e)
		cl.entryByID[e.id] = e
	}
	for i := range 2 {
		a := &testAgent{id: oleandervalve.AgentID(fmt.Sprint("agent", i)), leaving: map[oleandervalve.EndpointID]bool{}}
		for j := range 2 {
			a.endpoints = append(a.endpoints, oleandervalve.Announcement{
				Endpoint: oleandervalve.EndpointID(fmt.Sprint("endpoint", i, j)), Service: "formaro",
				Slots: 1 + 2*i + j, Connections: 2 + j,
			})
		}
		cl.agents = append(cl.agents, a)
		cl.agentByID[a.id] = a
		cl.restart(a)
		cl.stepAgent(a)
	}
	for _, f := range cl.inFlight {
		f()
	}
	cl.inFlight = nil
	return cl
}

func (cl *cluster) restart(a *testAgent) {
	a.ledger = instance.NewLedger()
	a.ledger.Configure("formaro", []credit.ClassShare{{Class: "a", Weight: 3, Floor: 0.3}, {Class: "b", Weight: 1, Floor: 0.2}})
	a.epochs = map[oleandervalve.EntryID]oleandervalve.ConnectionEpoch{}
	// If an agent fails, its connections to its endpoints break, which ends its
	// requests.
	a.running = nil
	cl.announce(a)
	for _, e := range cl.entries {
		cl.connect(a, e)
	}
}

func (cl *cluster) announce(a *testAgent) {
	for _, x := range a.endpoints {
		if !a.leaving[x.Endpoint] {
			if err := a.ledger.Announce(cl.now, x); err != nil {
				cl.t.Fatal(err)
			}
		}
	}
}

func (cl *cluster) connect(a *testAgent, e *testEntry) {
	cl.epoch++
	c := cl.epoch
	a.epochs[e.id] = c
	a.ledger.Connect(cl.now, e.id, c)
	e.dir.Connect(cl.now, a.id, c, oleandervalve.Location{})
	for _, x := range e.sent {
		if x.assignment.Agent == a.id && x.assignment.Epoch != c && e.unanswered[x.request.ID] == x {
			// The caller gets the outcome "unknown".
			cl.answer(e, x)
		}
	}
}

func (cl *cluster) answer(e *testEntry, x *attempt) {
	if e.unanswered[x.request.ID] == x {
		delete(e.unanswered, x.request.ID)
		delete(cl.pending, x.request.ID)
		e.queue.Finished(cl.now, x.request.Class, time.Millisecond)
	}
}

func (cl *cluster) send(f frame) { cl.inFlight = append(cl.inFlight, f) }

func (cl *cluster) push(e *testEntry) {
	cl.serial++
	r := caller.Request{
		ID:    oleandervalve.RequestID(fmt.Sprint("r", cl.serial)),
		Class: []oleandervalve.ClassName{"a", "b", "c"}[cl.pick(3)],
		Team:  "team", Caller: "caller", Arrived: cl.now,
		Deadline: cl.now.Add(time.Duration(1+cl.pick(4000)) * time.Millisecond),
	}
	if e.queue.Push(cl.now, r) == nil {
		cl.pending[r.ID] = r.Deadline
	}
}

func (cl *cluster) dispatch(e *testEntry) {
	for {
		r, g, ok := e.dir.Next(cl.now, "formaro", e.queue)
		if !ok {
			break
		}
		if e.unanswered[r.ID] != nil {
			cl.t.Fatalf("request %s was popped twice", r.ID)
		}
		cl.serial++
		x := &attempt{request: r, wireID: oleandervalve.RequestID(fmt.Sprint(r.ID, ".", cl.serial)), assignment: g}
		e.unanswered[r.ID] = x
		e.sent = append(e.sent, x)
		a := cl.agentByID[g.Agent]
		cl.send(func() { cl.admit(a, e, x) })
	}
	cl.returnCredits(e, e.dir.TakeSurplus("formaro"))
	for _, d := range e.dir.DemandUpdates(cl.now, e.queue.Demand("formaro")) {
		a := cl.agentByID[d.Agent]
		cl.send(func() { a.ledger.Demand(cl.now, e.id, d.Epoch, d.Classes) })
	}
}

func (cl *cluster) returnCredits(e *testEntry, list []endpoint.CreditReturn) {
	for _, r := range list {
		a := cl.agentByID[r.Agent]
		cl.send(func() { a.ledger.Return(cl.now, e.id, r.Epoch, r.Endpoint, r.Class, r.Count) })
	}
}

func (cl *cluster) admit(a *testAgent, e *testEntry, x *attempt) {
	err := a.ledger.Admit(cl.now, instance.Admission{
		ID: x.wireID, Entry: e.id, Epoch: x.assignment.Epoch, Endpoint: x.assignment.Endpoint,
		Class: x.request.Class, Deadline: x.request.Deadline,
	})
	var refused *oleandervalve.NotRunError
	switch {
	case err == nil:
		if a.leaving[x.assignment.Endpoint] {
			cl.t.Fatalf("leaving endpoint %s got request %s", x.assignment.Endpoint, x.wireID)
		}
		a.running = append(a.running, &execution{attempt: x, entry: e})
	case errors.As(err, &refused):
		cl.send(func() { cl.refused(e, x) })
	}
}

// refused handles the refusal of an attempt, which did not run, and retries the
// request.
func (cl *cluster) refused(e *testEntry, x *attempt) {
	cl.notRun[x.wireID] = true
	if e.unanswered[x.request.ID] != x {
		return
	}
	e.dir.RecordRefusal(x.assignment)
	delete(e.unanswered, x.request.ID)
	if e.queue.Requeue(cl.now, x.request) != nil {
		delete(cl.pending, x.request.ID)
	}
}

func (cl *cluster) begin(a *testAgent, x *execution) {
	if a.ledger.Begin(cl.now, x.entry.id, x.assignment.Epoch, x.wireID) == nil {
		x.begun = true
		cl.runCounts[x.wireID]++
		return
	}
	if !x.begun {
		a.remove(x)
	}
}

func (a *testAgent) remove(x *execution) {
	a.running = slices.DeleteFunc(a.running, func(o *execution) bool { return o == x })
}

func (cl *cluster) finish(a *testAgent, x *execution) {
	a.ledger.Finish(cl.now, x.entry.id, x.assignment.Epoch, x.wireID)
	a.remove(x)
	cl.send(func() {
		x.entry.dir.RecordResult(cl.now, x.assignment, len(x.wireID)%3 > 0, time.Millisecond)
		cl.answer(x.entry, x.attempt)
	})
}

func (cl *cluster) cancel(e *testEntry, x *attempt) {
	a := cl.agentByID[x.assignment.Agent]
	cl.send(func() {
		if !a.ledger.Cancel(cl.now, e.id, x.assignment.Epoch, x.wireID) {
			cl.send(func() { cl.refused(e, x) })
		}
	})
}

func (cl *cluster) stepAgent(a *testAgent) {
	a.ledger.Tick(cl.now)
	for _, e := range cl.entries {
		var list []endpoint.Status
		for _, x := range a.ledger.Endpoints() {
			list = append(list, endpoint.Status{Endpoint: x.Endpoint, Service: x.Service, Slots: x.Slots, Leaving: x.Leaving})
		}
		c := a.epochs[e.id]
		cl.send(func() {
			e.dir.Heartbeat(cl.now, a.id, c)
			e.dir.Update(cl.now, a.id, c, true, list)
		})
	}
	for _, g := range a.ledger.Grants(cl.now) {
		e := cl.entryByID[g.Entry]
		cl.send(func() {
			cl.returnCredits(e, e.dir.AddCredits(cl.now, a.id, g.Epoch, g.Endpoint, g.Class, g.Count, g.ValidFor))
		})
	}
	for _, r := range a.ledger.Revokes(cl.now) {
		e := cl.entryByID[r.Entry]
		cl.send(func() { cl.returnCredits(e, e.dir.Revoke(cl.now, a.id, r.Epoch, r.Endpoint, r.Count)) })
	}
}

func (cl *cluster) deliver() {
	if len(cl.duplicates) > 0 && cl.pick(20) == 0 {
		i := cl.pick(len(cl.duplicates))
		f := cl.duplicates[i]
		cl.duplicates = append(cl.duplicates[:i:i], cl.duplicates[i+1:]...)
		f()
	}
	if len(cl.inFlight) == 0 {
		return
	}
	i := 0
	if cl.pick(8) == 0 {
		i = cl.pick(len(cl.inFlight))
	}
	f := cl.inFlight[i]
	switch cl.pick(30) {
	case 0:
		cl.inFlight = append(cl.inFlight[:i:i], cl.inFlight[i+1:]...)
	case 1:
		cl.inFlight = append(cl.inFlight[:i:i], cl.inFlight[i+1:]...)
		cl.duplicates = append(cl.duplicates, f)
		f()
	default:
		cl.inFlight = append(cl.inFlight[:i:i], cl.inFlight[i+1:]...)
		f()
	}
}

// expire answers the requests past their deadline, waiting or sent.
func (cl *cluster) expire(e *testEntry) {
	if cl.now.Before(e.paused) {
		return
	}
	for _, r := range e.queue.Expire(cl.now) {
		delete(cl.pending, r.ID)
	}
	for _, x := range e.sent {
		if e.unanswered[x.request.ID] == x && !x.request.Deadline.After(cl.now) {
			cl.answer(e, x)
		}
	}
	cl.returnCredits(e, e.dir.Expire(cl.now))
}

func (cl *cluster) check() {
	for _, a := range cl.agents {
		executing := map[oleandervalve.EndpointID]int{}
		for _, x := range a.running {
			if x.begun {
				executing[x.assignment.Endpoint]++
			}
		}
		for _, x := range a.endpoints {
			if n := executing[x.Endpoint]; n > x.Slots || n > x.Connections {
				cl.t.Fatalf("%d requests run at %s with %d slots and %d connections", n, x.Endpoint, x.Slots, x.Connections)
			}
		}
	}
	for id, n := range cl.runCounts {
		if n > 1 {
			cl.t.Fatalf("request %s ran %d times", id, n)
		}
		if cl.notRun[id] {
			cl.t.Fatalf("request %s ran although its entry was notified that it did not", id)
		}
	}
}

func (cl *cluster) step() {
	e := cl.entries[cl.pick(2)]
	a := cl.agents[cl.pick(2)]
	switch n := cl.pick(60); {
	case n < 14:
		for range 1 + cl.pick(4) {
			cl.push(e)
		}
	case n < 24:
		cl.stepAgent(a)
	case n < 40:
		if len(a.running) > 0 {
			cl.begin(a, a.running[cl.pick(len(a.running))])
		}
	case n < 50:
		if len(a.running) > 0 {
			cl.finish(a, a.running[cl.pick(len(a.running))])
		}
	case n < 53:
		if len(e.sent) > 0 {
			cl.cancel(e, e.sent[cl.pick(len(e.sent))])
		}
	case n < 56:
		cl.now = cl.now.Add(time.Duration(1+cl.pick(1+cl.pick(cl.pick(1500)+1))) * time.Millisecond)
		cl.announce(a)
	case n == 56:
		cl.connect(a, e)
	case n == 57:
		x := a.endpoints[cl.pick(2)]
		if a.leaving[x.Endpoint] = !a.leaving[x.Endpoint]; a.leaving[x.Endpoint] {
			a.ledger.Leave(cl.now, x.Endpoint)
		}
	case n == 58:
		e.paused = cl.now.Add(time.Duration(cl.pick(500)) * time.Millisecond)
	default:
		cl.restart(a)
	}
}

// Guards against exceeding the capacity when entries have different views of
// it, running a request that was refused or withdrawn, running or popping a
// request twice, work for a leaving endpoint, and requests without an answer.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t)
		for range 400 {
			cl.step()
			if cl.pick(2) == 0 {
				for _, e := range cl.entries {
					if !cl.now.Before(e.paused) {
						cl.dispatch(e)
					}
				}
			}
			for range cl.pick(9) {
				cl.deliver()
			}
			for _, e := range cl.entries {
				cl.expire(e)
				if at, ok := e.queue.NextExpiry(cl.now); ok && !cl.now.Before(e.paused) && !at.After(cl.now) {
					t.Fatal("a request waits past its deadline")
				}
			}
			cl.check()
		}
		cl.now = cl.now.Add(10 * time.Second)
		for _, e := range cl.entries {
			cl.expire(e)
			if e.queue.Len() > 0 || len(e.unanswered) > 0 {
				t.Fatal("a request has no answer after its deadline")
			}
		}
		if len(cl.pending) > 0 {
			t.Fatalf("%d requests were never answered", len(cl.pending))
		}
	})
}
