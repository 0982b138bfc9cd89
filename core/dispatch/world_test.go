package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// world plays leaders, agents and executors around a Dispatcher with a fake
// clock. It checks from what executors do that no promise is broken.
type world struct {
	t      *testing.T
	r      *rand.Rand
	now    time.Time
	d      *Dispatcher
	rows   map[oleandervalve.JobID]Stored
	next   oleandervalve.Version
	batch  *Batch
	agents map[oleandervalve.AgentID]*fakeAgent
	order  []oleandervalve.AgentID
	// outbox holds orders that have not reached their agent.
	outbox []Action
	specs  map[oleandervalve.JobID]work.Spec
	// questions are those for permits that wait for an answer.
	questions []AskPermits
	// permits is the policy of the queue of all jobs.
	permits work.PermitPolicy
	// finished holds tasks of which a run has ended with success, and done those
	// of which such an end has been acknowledged.
	finished map[oleandervalve.TaskName]bool
	done     map[oleandervalve.TaskName]bool
	failed   map[oleandervalve.TaskName]int
	// cancelled holds jobs whose cancellation was acknowledged.
	cancelled map[oleandervalve.JobID]bool
	replies   map[Token]Reply
	tokens    map[Token]oleandervalve.JobID
	cancels   map[Token]oleandervalve.JobID
	token     Token
	// failShare is the share of runs that fail.
	failShare float64
	shown     map[oleandervalve.JobID]work.State
	// events is the history, which a failed seed prints.
	events []string
}

func (w *world) event(format string, values ...any) {
	w.events = append(w.events, fmt.Sprintf("%.3f ", w.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, values...))
}

// fakeRun is one run on an executor.
type fakeRun struct {
	key  runKey
	ends time.Time
	fail bool
	size oleandervalve.Resources
}

type fakeAgent struct {
	id        oleandervalve.AgentID
	status    oleandervalve.ExecutorStatus
	connected bool
	running   []fakeRun
	ended     []oleandervalve.EndedTask
	number    uint64
	refused   map[oleandervalve.TaskName]oleandervalve.RunNumber
	// leaseEnd is when the executor ends everything; lapsed is the highest number
	// of an end before the last time that this happened.
	leaseEnd time.Time
	lapsed   uint64
}

const worldTakeover = 7 * time.Second

func newWorld(t *testing.T, seed uint64, agents int) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		rows: map[oleandervalve.JobID]Stored{}, agents: map[oleandervalve.AgentID]*fakeAgent{},
		specs: map[oleandervalve.JobID]work.Spec{}, done: map[oleandervalve.TaskName]bool{}, finished: map[oleandervalve.TaskName]bool{}, failed: map[oleandervalve.TaskName]int{},
		cancelled: map[oleandervalve.JobID]bool{}, replies: map[Token]Reply{}, tokens: map[Token]oleandervalve.JobID{},
		cancels: map[Token]oleandervalve.JobID{}, shown: map[oleandervalve.JobID]work.State{}, failShare: 0.05,
	}
	w.lead()
	for i := range agents {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%02d", i))
		a := &fakeAgent{id: id, refused: map[oleandervalve.TaskName]oleandervalve.RunNumber{}}
		a.status = oleandervalve.ExecutorStatus{
			Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), Born: 1}, Service: "press",
			State: oleandervalve.ExecutorReady, Labels: []string{"a", fmt.Sprintf("r%d", i/3)},
			Capacity: oleandervalve.Resources{CPU: 16000, Memory: 64 << 30},
		}
		w.agents[id] = a
		w.order = append(w.order, id)
		w.connect(a)
	}
	return w
}

// lead starts a new dispatcher from the stored rows, as a new leader does.
func (w *world) lead() {
	w.event("new leader")
	w.d = New(Options{TakeoverAfter: worldTakeover, Retention: time.Hour})
	var stored []Stored
	for _, s := range w.rows {
		s.Record.Tasks = slices.Clone(s.Record.Tasks)
		s.Record.Places = slices.Clone(s.Record.Places)
		stored = append(stored, s)
	}
	w.d.Load(w.now, stored)
	w.batch, w.outbox, w.questions = nil, nil, nil
	for _, a := range w.agents {
		a.connected = false
	}
}

// connect begins a session; orders of earlier sessions are void.
func (w *world) connect(a *fakeAgent) {
	w.outbox = slices.DeleteFunc(w.outbox, func(x Action) bool { return agentOf(x) == a.id })
	w.event("%s connects", a.id)
	a.connected = true
	a.leaseEnd = w.now.Add(6 * time.Second)
	h := oleandervalve.Holding{Ended: slices.Clone(a.ended)}
	for _, r := range a.running {
		h.Running = append(h.Running, oleandervalve.RunningTask{Task: r.key.task, Run: r.key.run})
	}
	w.d.Joined(w.now, a.id, a.status, h)
	w.collect()
}

func agentOf(x Action) oleandervalve.AgentID {
	switch x := x.(type) {
	case Start:
		return x.Agent
	case Stop:
		return x.Agent
	case Acknowledge:
		return x.Agent
	}
	return ""
}

func (w *world) collect() {
	w.d.Schedule(w.now)
	for _, x := range w.d.Next() {
		if n, ok := x.(Note); !ok {
			w.event("act %T %+v", x, x)
		} else if n.Job != "" {
			w.event("note %s %s %v", n.Event, n.Job, n.Fields)
		}
		switch x := x.(type) {
		case Start:
			// Orders that were given before the acknowledgement may still arrive;
			// a stop follows them.
			if w.cancelled[x.Task.Job] {
				w.t.Fatalf("%v: %v is ordered after its job was cancelled", w.now, x.Task)
			}
			w.outbox = append(w.outbox, x)
		case AskPermits:
			w.questions = append(w.questions, x)
		case Stop, Acknowledge:
			w.outbox = append(w.outbox, x)
		case Reply:
			w.replies[x.Token] = x
			if id, ok := w.cancels[x.Token]; ok && x.Verdict == Accepted {
				w.cancelled[id] = true
			}
		}
	}
}

func (w *world) submit(id oleandervalve.JobID, q work.Queue, s work.Spec) {
	w.token++
	w.tokens[w.token] = id
	w.specs[id] = s
	w.d.Submit(w.now, Submission{Token: w.token, Job: id, Queue: q, Spec: s})
	w.collect()
}

func (w *world) cancel(id oleandervalve.JobID) {
	w.token++
	w.cancels[w.token] = id
	w.d.Cancel(w.now, id, w.token)
	w.collect()
}

// commit takes the batch on its way to its result, or begins one.
func (w *world) commit(apply bool) {
	if w.batch == nil {
		w.batch = w.d.Batch()
		return
	}
	b := w.batch
	w.batch = nil
	w.event("commit %v %v", apply, b.Transaction.Conditions)
	if !apply {
		w.d.Refused(w.now, b)
		w.collect()
		return
	}
	w.store(b)
	w.d.Applied(w.now, b, w.next)
	w.collect()
}

func (w *world) store(b *Batch) {
	w.next++
	if n := len(b.Transaction.Conditions) + len(b.Transaction.Puts) + len(b.Transaction.Deletes); n > 98 {
		w.t.Fatalf("a commit has %d entries", n)
	}
	for _, k := range b.Transaction.Deletes {
		id, _ := cutPrefix(k, work.SpecPrefix)
		s := w.rows[id]
		s.Spec, s.SpecVersion = work.Spec{}, 0
		w.rows[id] = s
	}
	for _, p := range b.Transaction.Puts {
		row := oleandervalve.Row{Key: p.Key, Value: p.Value}
		if rec, ok := cutPrefix(p.Key, work.RecordPrefix); ok {
			s := w.rows[rec]
			s.Job, s.Version = rec, w.next
			s.Record = work.Record{}
			w.must(work.Decode(row, &s.Record))
			w.rows[rec] = s
			continue
		}
		if id, ok := cutPrefix(p.Key, work.SpecPrefix); ok {
			s := w.rows[id]
			w.must(work.Decode(row, &s.Spec))
			s.SpecVersion = w.next
			w.rows[id] = s
		}
	}
}

func cutPrefix(k, prefix oleandervalve.Key) (oleandervalve.JobID, bool) {
	if len(k) < len(prefix) || k[:len(prefix)] != prefix {
		return "", false
	}
	return oleandervalve.JobID(k[len(prefix):]), true
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// isAllowed reports whether the queue's policy allows a step on an executor:
// on every second one.
func (w *world) isAllowed(s oleandervalve.StepName, e oleandervalve.ExecutorID) bool {
	return (int(e[len(e)-1])+int(s.Job[len(s.Job)-1])+s.Step)%2 == 0
}

func ticketOf(s oleandervalve.StepName, e oleandervalve.ExecutorID) string {
	return fmt.Sprintf("%s.%d@%s", s.Job, s.Step, e)
}

// answer answers the first question for permits, or loses it.
func (w *world) answer() {
	if len(w.questions) == 0 {
		return
	}
	q := w.questions[0]
	w.questions = w.questions[1:]
	if w.r.IntN(5) == 0 {
		w.d.Permitted(w.now, q, nil)
		w.collect()
		return
	}
	g := &oleandervalve.PermitGrant{Valid: w.permits.Valid}
	for _, e := range q.Executors {
		if w.isAllowed(q.Step, e) {
			g.Permits = append(g.Permits, oleandervalve.Permit{Executor: e, Ticket: ticketOf(q.Step, e)})
		}
	}
	w.d.Permitted(w.now, q, g)
	w.collect()
}

// deliver carries out the first order on its way.
func (w *world) deliver() {
	w.answer()
	if len(w.outbox) == 0 {
		return
	}
	x := w.outbox[0]
	w.outbox = w.outbox[1:]
	a := w.agents[agentOf(x)]
	if a == nil || !a.connected {
		return
	}
	switch x := x.(type) {
	case Start:
		w.start(a, x)
	case Stop:
		w.stop(a, runKey{x.Task, x.Run})
	case Acknowledge:
		if x.Executor == a.status.Incarnation {
			a.ended = slices.DeleteFunc(a.ended, func(e oleandervalve.EndedTask) bool {
				// An end from before a lapse of the lease may be run again.
				if e.Number == x.Number && e.How == oleandervalve.EndDone && e.Number > a.lapsed {
					w.done[e.Task] = true
				}
				if e.Number == x.Number && e.How == oleandervalve.EndFailed && e.Number > a.lapsed {
					w.failed[e.Task]++
				}
				return e.Number == x.Number
			})
		}
	}
}

// start checks the promises about starts and begins a run.
func (w *world) start(a *fakeAgent, x Start) {
	if x.Executor != a.status.Incarnation {
		w.d.Voided(w.now, a.id, Void{Task: x.Task, Run: x.Run, Reason: oleandervalve.RefusedOld})
		w.collect()
		return
	}
	if x.Run <= a.refused[x.Task] {
		w.t.Fatalf("%v: start of %v run %d after its stop or end", w.now, x.Task, x.Run)
	}
	step := oleandervalve.StepName{Job: x.Task.Job, Occurrence: x.Task.Occurrence, Step: x.Task.Step}
	if w.permits.Required() && (!w.isAllowed(step, a.status.Incarnation.ID) || x.Ticket != ticketOf(step, a.status.Incarnation.ID)) {
		w.t.Fatalf("%v: %v starts on %s with ticket %q", w.now, x.Task, a.id, x.Ticket)
	}
	s := w.specs[x.Task.Job].Steps[x.Task.Step]
	for _, b := range w.agents {
		for _, r := range b.running {
			if s.Gang && r.key.task.Job == x.Task.Job && r.key.task.Step == x.Task.Step && r.key.run != x.Run {
				w.t.Fatalf("%v: member %v run %d starts beside %v run %d", w.now, x.Task, x.Run, r.key.task, r.key.run)
			}
			if r.key.task == x.Task {
				w.t.Fatalf("%v: %v runs on %s and starts on %s", w.now, x.Task, b.id, a.id)
			}
		}
	}
	if w.done[x.Task] {
		w.t.Fatalf("%v: %v starts after it is done", w.now, x.Task)
	}
	for _, n := range s.After {
		for i := range w.specs[x.Task.Job].Steps[n].Count {
			before := oleandervalve.TaskName{Job: x.Task.Job, Occurrence: x.Task.Occurrence, Step: n, Index: i}
			if !w.finished[before] {
				w.t.Fatalf("%v: %v starts before %v is done", w.now, x.Task, before)
			}
		}
	}
	if limit := 3; w.failed[x.Task] >= limit {
		w.t.Fatalf("%v: %v starts after %d failures", w.now, x.Task, limit)
	}
	used := s.Reserved()
	for _, r := range a.running {
		used = used.Add(r.size)
	}
	if !used.Fits(a.status.Capacity) {
		w.t.Fatalf("%v: %s holds %+v of %+v", w.now, a.id, used, a.status.Capacity)
	}
	a.running = append(a.running, fakeRun{
		key: runKey{x.Task, x.Run}, ends: w.now.Add(time.Duration(200+w.r.IntN(1500)) * time.Millisecond),
		fail: w.r.Float64() < w.failShare, size: s.Reserved(),
	})
}

func (w *world) stop(a *fakeAgent, k runKey) {
	a.refused[k.task] = max(a.refused[k.task], k.run)
	for i, r := range a.running {
		if r.key == k {
			a.running = slices.Delete(a.running, i, i+1)
			w.list(a, k, oleandervalve.EndStopped)
			w.endGang(k, oleandervalve.EndStopped)
			return
		}
	}
	for _, e := range a.ended {
		if e.Task == k.task && e.Run == k.run {
			return
		}
	}
	w.d.Voided(w.now, a.id, Void{Task: k.task, Run: k.run, Reason: oleandervalve.RefusedOld})
	w.collect()
}

func (w *world) list(a *fakeAgent, k runKey, how oleandervalve.RunEnd) {
	a.number++
	if how == oleandervalve.EndDone {
		w.finished[k.task] = true
	}
	a.refused[k.task] = max(a.refused[k.task], k.run)
	w.event("%s lists %v run %d %s", a.id, k.task, k.run, how)
	e := oleandervalve.EndedTask{Number: a.number, Task: k.task, Run: k.run, How: how}
	a.ended = append(a.ended, e)
	if a.connected {
		w.d.Ended(w.now, a.id, a.status.Incarnation, e)
		w.collect()
	}
}

// advance moves the clock and ends what is due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.order {
		a := w.agents[id]
		if a.connected {
			a.leaseEnd = w.now.Add(6 * time.Second)
			w.d.Granted(w.now, id)
		}
		if w.now.After(a.leaseEnd) {
			a.lapsed = a.number
		}
		for i := 0; i < len(a.running); {
			r := a.running[i]
			how := oleandervalve.EndDone
			switch {
			case w.now.After(a.leaseEnd):
				how = oleandervalve.EndLapsed
			case r.ends.After(w.now):
				i++
				continue
			case r.fail:
				how = oleandervalve.EndFailed
			}
			a.running = slices.Delete(a.running, i, i+1)
			w.list(a, r.key, how)
			w.endGang(r.key, how)
		}
	}
	w.d.Tick(w.now)
	w.collect()
	for id, s := range w.rows {
		if state, ok := w.d.State(id); ok {
			if w.shown[id].Terminal() && state != w.shown[id] {
				w.t.Fatalf("%v: %s was shown as %v and is now %v", w.now, id, w.shown[id], state)
			}
			w.shown[id] = state
			if state == work.Completed && s.Record.State != work.Completed {
				w.t.Fatalf("%v: %s is shown as completed and stored as %v", w.now, id, s.Record.State)
			}
		}
	}
}

// endGang ends the other members of a gang with the first.
func (w *world) endGang(k runKey, how oleandervalve.RunEnd) {
	s := w.specs[k.task.Job].Steps[k.task.Step]
	if !s.Gang {
		return
	}
	if how != oleandervalve.EndDone {
		how = oleandervalve.EndBroken
	}
	for _, id := range w.order {
		a := w.agents[id]
		for i := 0; i < len(a.running); {
			r := a.running[i]
			same := r.key.task.Job == k.task.Job && r.key.task.Step == k.task.Step && r.key.run == k.run
			if !same {
				i++
				continue
			}
			a.running = slices.Delete(a.running, i, i+1)
			w.list(a, r.key, how)
		}
	}
	if how == oleandervalve.EndDone {
		for i := range s.Count {
			n := k.task
			n.Index = i
			w.finished[n] = true
		}
	}
}

// crash ends an executor with all that it runs; a new one may follow.
func (w *world) crash(a *fakeAgent) {
	a.running, a.ended, a.number, a.lapsed = nil, nil, 0, 0
	a.refused = map[oleandervalve.TaskName]oleandervalve.RunNumber{}
	a.status.Incarnation.Born++
	if a.connected {
		w.d.Lost(w.now, a.id)
		w.connect(a)
	}
}

// settle plays without faults until all jobs have ended, or fails.
func (w *world) settle() {
	for _, id := range w.order {
		if a := w.agents[id]; !a.connected {
			w.connect(a)
		}
	}
	w.failShare = 0
	for range 3000 {
		w.advance(50 * time.Millisecond)
		w.commit(true)
		w.commit(true)
		for len(w.outbox) > 0 {
			w.deliver()
		}
		w.answer()
		open := 0
		for id := range w.rows {
			if st, _ := w.d.State(id); !st.Terminal() {
				open++
			}
		}
		if open == 0 && !w.d.Pending() {
			return
		}
	}
	for id, s := range w.rows {
		if st, _ := w.d.State(id); !st.Terminal() {
			w.t.Fatalf("%s does not end: %v, %+v", id, st, s.Record)
		}
	}
}
