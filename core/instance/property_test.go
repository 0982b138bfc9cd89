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

// The seed of the property tests is fixed, so that every run is the same.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// frame is a message under way; it may be delivered late, twice or never.
type frame func()

type attempt struct {
	request    caller.Request
	wire       oleandervalve.RequestID
	assignment endpoint.Assignment
}

type testEntry struct {
	id     oleandervalve.EntryID
	queue  *caller.Queue
	dir    *endpoint.Directory
	paused time.Time
	open   map[oleandervalve.RequestID]*attempt
	sent   []*attempt
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
	left      map[oleandervalve.EndpointID]bool
	epochs    map[oleandervalve.EntryID]oleandervalve.ConnectionEpoch
	running   []*execution
}

// world is two agents and two entries with an unreliable network; it counts
// executions apart from the ledgers.
type world struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	entries []*testEntry
	agents  []*testAgent
	entry   map[oleandervalve.EntryID]*testEntry
	agent   map[oleandervalve.AgentID]*testAgent
	wire    []frame
	// late holds frames that were delivered and will be again.
	late    []frame
	epoch   oleandervalve.ConnectionEpoch
	serial  int
	ran     map[oleandervalve.RequestID]int
	notRun  map[oleandervalve.RequestID]bool
	pending map[oleandervalve.RequestID]time.Time
}

var testClasses = []caller.ClassPolicy{{Class: "a", Weight: 3, Floor: 0.3}, {Class: "b", Weight: 1, Floor: 0.2}, {Class: "c"}}

// pick chooses evenly; the integers of rapid favour small values, with which
// most histories would never run a request.
func (w *world) pick(n int) int { return w.random.IntN(n) }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: start, ran: map[oleandervalve.RequestID]int{},
		notRun: map[oleandervalve.RequestID]bool{}, pending: map[oleandervalve.RequestID]time.Time{},
		entry: map[oleandervalve.EntryID]*testEntry{}, agent: map[oleandervalve.AgentID]*testAgent{},
	}
	for i := range 2 {
		e := &testEntry{
			id: oleandervalve.EntryID(fmt.Sprint("entry", i)), queue: caller.NewQueue(),
			dir: endpoint.NewDirectory(), open: map[oleandervalve.RequestID]*attempt{},
		}
		e.queue.Configure(testClasses)
		w.entries = append(w.entries, e)
		w.entry[e.id] = e
	}
	for i := range 2 {
		a := &testAgent{id: oleandervalve.AgentID(fmt.Sprint("agent", i)), left: map[oleandervalve.EndpointID]bool{}}
		for j := range 2 {
			a.endpoints = append(a.endpoints, oleandervalve.Announcement{
				Endpoint: oleandervalve.EndpointID(fmt.Sprint("endpoint", i, j)), Service: "formaro",
				Slots: 1 + 2*i + j, Connections: 2 + j,
			})
		}
		w.agents = append(w.agents, a)
		w.agent[a.id] = a
		w.restart(a)
		w.agentStep(a)
	}
	for _, f := range w.wire {
		f()
	}
	w.wire = nil
	return w
}

func (w *world) restart(a *testAgent) {
	a.ledger = instance.NewLedger()
	a.ledger.Configure("formaro", []credit.ClassShare{{Class: "a", Weight: 3, Floor: 0.3}, {Class: "b", Weight: 1, Floor: 0.2}})
	a.epochs = map[oleandervalve.EntryID]oleandervalve.ConnectionEpoch{}
	// The connections of a dead agent to its endpoints break, which ends its requests.
	a.running = nil
	w.announce(a)
	for _, e := range w.entries {
		w.connect(a, e)
	}
}

func (w *world) announce(a *testAgent) {
	for _, x := range a.endpoints {
		if !a.left[x.Endpoint] {
			if err := a.ledger.Announce(w.now, x); err != nil {
				w.t.Fatal(err)
			}
		}
	}
}

func (w *world) connect(a *testAgent, e *testEntry) {
	w.epoch++
	c := w.epoch
	a.epochs[e.id] = c
	a.ledger.Connect(w.now, e.id, c)
	e.dir.Connect(w.now, a.id, c, oleandervalve.Location{})
	for _, x := range e.sent {
		if x.assignment.Agent == a.id && x.assignment.Epoch != c && e.open[x.request.ID] == x {
			// Its outcome is unknown to the caller.
			w.answer(e, x)
		}
	}
}

func (w *world) answer(e *testEntry, x *attempt) {
	if e.open[x.request.ID] == x {
		delete(e.open, x.request.ID)
		delete(w.pending, x.request.ID)
		e.queue.Finished(w.now, x.request.Class, time.Millisecond)
	}
}

func (w *world) send(f frame) { w.wire = append(w.wire, f) }

func (w *world) push(e *testEntry) {
	w.serial++
	r := caller.Request{
		ID:    oleandervalve.RequestID(fmt.Sprint("r", w.serial)),
		Class: []oleandervalve.ClassName{"a", "b", "c"}[w.pick(3)],
		Team:  "team", Caller: "caller", Arrived: w.now,
		Deadline: w.now.Add(time.Duration(1+w.pick(4000)) * time.Millisecond),
	}
	if e.queue.Push(w.now, r) == nil {
		w.pending[r.ID] = r.Deadline
	}
}

func (w *world) dispatch(e *testEntry) {
	for {
		r, g, ok := e.dir.Next(w.now, "formaro", e.queue)
		if !ok {
			break
		}
		if e.open[r.ID] != nil {
			w.t.Fatalf("request %s was popped twice", r.ID)
		}
		w.serial++
		x := &attempt{request: r, wire: oleandervalve.RequestID(fmt.Sprint(r.ID, ".", w.serial)), assignment: g}
		e.open[r.ID] = x
		e.sent = append(e.sent, x)
		a := w.agent[g.Agent]
		w.send(func() { w.admit(a, e, x) })
	}
	w.giveBack(e, e.dir.Surplus("formaro"))
	for _, d := range e.dir.Demands(w.now, e.queue.Demand("formaro")) {
		a := w.agent[d.Agent]
		w.send(func() { a.ledger.Demand(w.now, e.id, d.Epoch, d.Classes) })
	}
}

func (w *world) giveBack(e *testEntry, list []endpoint.CreditReturn) {
	for _, r := range list {
		a := w.agent[r.Agent]
		w.send(func() { a.ledger.Return(w.now, e.id, r.Epoch, r.Endpoint, r.Class, r.Count) })
	}
}

func (w *world) admit(a *testAgent, e *testEntry, x *attempt) {
	err := a.ledger.Admit(w.now, instance.Admission{
		ID: x.wire, Entry: e.id, Epoch: x.assignment.Epoch, Endpoint: x.assignment.Endpoint,
		Class: x.request.Class, Deadline: x.request.Deadline,
	})
	var refused *oleandervalve.NotRunError
	switch {
	case err == nil:
		if a.left[x.assignment.Endpoint] {
			w.t.Fatalf("leaving endpoint %s got request %s", x.assignment.Endpoint, x.wire)
		}
		a.running = append(a.running, &execution{attempt: x, entry: e})
	case errors.As(err, &refused):
		w.send(func() { w.refused(e, x) })
	}
}

// refused tells the entry that an attempt did not run; it is tried again.
func (w *world) refused(e *testEntry, x *attempt) {
	w.notRun[x.wire] = true
	if e.open[x.request.ID] != x {
		return
	}
	e.dir.Refused(x.assignment)
	delete(e.open, x.request.ID)
	if e.queue.Requeue(w.now, x.request) != nil {
		delete(w.pending, x.request.ID)
	}
}

func (w *world) begin(a *testAgent, x *execution) {
	if a.ledger.Begin(w.now, x.entry.id, x.assignment.Epoch, x.wire) == nil {
		x.begun = true
		w.ran[x.wire]++
		return
	}
	if !x.begun {
		a.remove(x)
	}
}

func (a *testAgent) remove(x *execution) {
	a.running = slices.DeleteFunc(a.running, func(o *execution) bool { return o == x })
}

func (w *world) finish(a *testAgent, x *execution) {
	a.ledger.Finish(w.now, x.entry.id, x.assignment.Epoch, x.wire)
	a.remove(x)
	w.send(func() {
		x.entry.dir.Result(w.now, x.assignment, len(x.wire)%3 > 0, time.Millisecond)
		w.answer(x.entry, x.attempt)
	})
}

func (w *world) cancel(e *testEntry, x *attempt) {
	a := w.agent[x.assignment.Agent]
	w.send(func() {
		if !a.ledger.Cancel(w.now, e.id, x.assignment.Epoch, x.wire) {
			w.send(func() { w.refused(e, x) })
		}
	})
}

func (w *world) agentStep(a *testAgent) {
	a.ledger.Tick(w.now)
	for _, e := range w.entries {
		var list []endpoint.Status
		for _, x := range a.ledger.Endpoints() {
			list = append(list, endpoint.Status{Endpoint: x.Endpoint, Service: x.Service, Slots: x.Slots, Leaving: x.Leaving})
		}
		c := a.epochs[e.id]
		w.send(func() {
			e.dir.Heartbeat(w.now, a.id, c)
			e.dir.Update(w.now, a.id, c, true, list)
		})
	}
	for _, g := range a.ledger.Grants(w.now) {
		e := w.entry[g.Entry]
		w.send(func() {
			w.giveBack(e, e.dir.Credit(w.now, a.id, g.Epoch, g.Endpoint, g.Class, g.Count, g.ValidFor))
		})
	}
	for _, r := range a.ledger.Revokes(w.now) {
		e := w.entry[r.Entry]
		w.send(func() { w.giveBack(e, e.dir.Revoke(w.now, a.id, r.Epoch, r.Endpoint, r.Count)) })
	}
}

func (w *world) deliver() {
	if len(w.late) > 0 && w.pick(20) == 0 {
		i := w.pick(len(w.late))
		f := w.late[i]
		w.late = append(w.late[:i:i], w.late[i+1:]...)
		f()
	}
	if len(w.wire) == 0 {
		return
	}
	i := 0
	if w.pick(8) == 0 {
		i = w.pick(len(w.wire))
	}
	f := w.wire[i]
	switch w.pick(30) {
	case 0:
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	case 1:
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		w.late = append(w.late, f)
		f()
	default:
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		f()
	}
}

// expire answers what is past its deadline, waiting or sent.
func (w *world) expire(e *testEntry) {
	if w.now.Before(e.paused) {
		return
	}
	for _, r := range e.queue.Expire(w.now) {
		delete(w.pending, r.ID)
	}
	for _, x := range e.sent {
		if e.open[x.request.ID] == x && !x.request.Deadline.After(w.now) {
			w.answer(e, x)
		}
	}
	w.giveBack(e, e.dir.Expire(w.now))
}

func (w *world) check() {
	for _, a := range w.agents {
		executing := map[oleandervalve.EndpointID]int{}
		for _, x := range a.running {
			if x.begun {
				executing[x.assignment.Endpoint]++
			}
		}
		for _, x := range a.endpoints {
			if n := executing[x.Endpoint]; n > x.Slots || n > x.Connections {
				w.t.Fatalf("%d requests run at %s with %d slots and %d connections", n, x.Endpoint, x.Slots, x.Connections)
			}
		}
	}
	for id, n := range w.ran {
		if n > 1 {
			w.t.Fatalf("request %s ran %d times", id, n)
		}
		if w.notRun[id] {
			w.t.Fatalf("request %s ran although its entry was told that it did not", id)
		}
	}
}

func (w *world) step() {
	e := w.entries[w.pick(2)]
	a := w.agents[w.pick(2)]
	switch n := w.pick(60); {
	case n < 14:
		for range 1 + w.pick(4) {
			w.push(e)
		}
	case n < 24:
		w.agentStep(a)
	case n < 40:
		if len(a.running) > 0 {
			w.begin(a, a.running[w.pick(len(a.running))])
		}
	case n < 50:
		if len(a.running) > 0 {
			w.finish(a, a.running[w.pick(len(a.running))])
		}
	case n < 53:
		if len(e.sent) > 0 {
			w.cancel(e, e.sent[w.pick(len(e.sent))])
		}
	case n < 56:
		w.now = w.now.Add(time.Duration(1+w.pick(1+w.pick(w.pick(1500)+1))) * time.Millisecond)
		w.announce(a)
	case n == 56:
		w.connect(a, e)
	case n == 57:
		x := a.endpoints[w.pick(2)]
		if a.left[x.Endpoint] = !a.left[x.Endpoint]; a.left[x.Endpoint] {
			a.ledger.Leave(w.now, x.Endpoint)
		}
	case n == 58:
		e.paused = w.now.Add(time.Duration(w.pick(500)) * time.Millisecond)
	default:
		w.restart(a)
	}
}

// Guards against capacity exceeded by several entries with differing views, a
// request that runs although it was refused or withdrawn, a request run or
// popped twice, work for a leaving endpoint, and requests left unanswered.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 400 {
			w.step()
			if w.pick(2) == 0 {
				for _, e := range w.entries {
					if !w.now.Before(e.paused) {
						w.dispatch(e)
					}
				}
			}
			for range w.pick(9) {
				w.deliver()
			}
			for _, e := range w.entries {
				w.expire(e)
				if at, ok := e.queue.NextExpiry(w.now); ok && !w.now.Before(e.paused) && !at.After(w.now) {
					t.Fatal("a request waits past its deadline")
				}
			}
			w.check()
		}
		w.now = w.now.Add(10 * time.Second)
		for _, e := range w.entries {
			w.expire(e)
			if e.queue.Len() > 0 || len(e.open) > 0 {
				t.Fatal("a request is left without an answer")
			}
		}
		if len(w.pending) > 0 {
			t.Fatalf("%d requests were never answered", len(w.pending))
		}
	})
}
