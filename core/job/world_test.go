package job

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"oleandervalve"
	"oleandervalve/core/lease"
	"oleandervalve/core/table"
)

// world is a small model of the outside of two entries and two workers: a
// table, a platform that counts starts, and messages that can be delayed,
// repeated or lost. Every possible next event is listed by events.
type world struct {
	now      time.Time
	rows     map[oleandervalve.Key]oleandervalve.Row
	shards   []*Shard
	agents   []*agent
	items    []*item
	sequence int
	// eager delays only commits and the messages to start and stop, to shorten
	// explorations; agents act when time passes.
	eager bool
	// unfenced breaks the agent: it starts a run again whose end it has reported.
	unfenced bool
	// trusting breaks the takeover: it does not ask the table for the time.
	trusting bool
	// budget is the number of faults of each kind that may still happen.
	budget    map[string]int
	starts    map[Run]int
	evicted   map[Run]bool
	resumed   map[Run]int
	notRun    map[oleandervalve.TaskID]bool
	jobs      []oleandervalve.JobID
	violation string
}

// item is something under way: a message, a commit or a call.
type item struct {
	name    string
	to      int // shard, or worker of a message or call
	from    int
	toAgent bool
	life    Incarnation // of the agent that the item belongs to
	act     any
	ghost   bool // a commit whose answer is no longer awaited
	attempt *table.Attempt
}

type answer struct {
	call    Action
	outcome Outcome
	status  oleandervalve.WorkerStatus
	at      time.Time
}

type readBack struct{ step table.Step }

// heartbeat asks for renewal, renewed tells that it is committed.
type heartbeat struct{ sentAt time.Time }

type renewed struct{ sentAt time.Time }

type agent struct {
	name   oleandervalve.WorkerID
	life   Incarnation
	lease  *lease.Worker
	ledger *ledger
	runner *Runner
	// The platform's side of the worker.
	tasks map[Run]*placed
	fence map[oleandervalve.TaskID]oleandervalve.Epoch
}

type placed struct {
	spec  oleandervalve.TaskSpec
	state oleandervalve.PlatformTaskState
	until time.Time
}

type ledger struct {
	used map[Run]oleandervalve.Resources
}

var (
	capacity = oleandervalve.Resources{CPU: 2}
	taskSize = oleandervalve.Resources{CPU: 1}
)

func (l *ledger) sum() (n oleandervalve.Resources) {
	for _, u := range l.used {
		n = n.Add(u)
	}
	return n
}

func (l *ledger) Reserve(r Run, n oleandervalve.Resources) bool {
	if !l.sum().Add(n).Fits(capacity) {
		return false
	}
	l.used[r] = n
	return true
}
func (l *ledger) Adopt(r Run, n oleandervalve.Resources) { l.used[r] = n }
func (l *ledger) Release(r Run)                          { delete(l.used, r) }

// chooser alternates the workers, starting from another one at each entry, so
// that two owners disagree.
type chooser struct {
	offset int
	agents int
}

func (c *chooser) Choose(_ time.Time, r Record) Choice {
	if r.Spec.Size.CPU > capacity.CPU {
		return Choice{Infeasible: true, Reason: "tooLarge"}
	}
	return Choice{Worker: workerName((c.offset + int(r.Epoch)) % c.agents)}
}

func (c *chooser) Refused(time.Time, oleandervalve.WorkerID, Record, oleandervalve.Reason) {
	c.offset = (c.offset + 1) % c.agents
}

func workerName(i int) oleandervalve.WorkerID { return oleandervalve.WorkerID(fmt.Sprintf("w%d", i)) }

// sameShard returns n jobs of one shard.
func sameShard(n int) (list []oleandervalve.JobID) {
	for i := 0; len(list) < n; i++ {
		if j := oleandervalve.JobID(fmt.Sprintf("j%d", i)); ShardOf(j) == 0 {
			list = append(list, j)
		}
	}
	return list
}

func newWorld(jobs, tasks int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rows: map[oleandervalve.Key]oleandervalve.Row{},
		budget: map[string]int{}, starts: map[Run]int{}, evicted: map[Run]bool{}, resumed: map[Run]int{},
		notRun: map[oleandervalve.TaskID]bool{}, jobs: sameShard(jobs),
	}
	for i := range 2 {
		a := &agent{name: workerName(i), tasks: map[Run]*placed{}, fence: map[oleandervalve.TaskID]oleandervalve.Epoch{}}
		w.agents = append(w.agents, a)
		w.renew(a)
		w.boot(a)
	}
	for _, j := range w.jobs {
		var records []Record
		for i := range tasks {
			records = append(records, Record{Spec: oleandervalve.TaskSpec{Task: oleandervalve.TaskID(fmt.Sprintf("%s/%d", j, i)), Size: taskSize}})
		}
		if _, err := w.commit(Create(oleandervalve.MutationID("create-"+string(j)), Group{Job: j}, records)); err != nil {
			w.fail("submission: %v", err)
		}
	}
	for i := range 2 {
		w.shards = append(w.shards, nil)
		w.rebuild(i)
	}
	for len(w.items) > 0 { // the agents learn what runs
		t := w.items[0]
		w.items = w.items[1:]
		w.perform(t)
	}
	return w
}

// rebuild replaces an entry's shard by a new one, as another owner would have it.
func (w *world) rebuild(i int) {
	w.sequence++
	w.items = filter(w.items, func(t *item) bool {
		_, isCommit := t.act.(Commit)
		t.ghost = t.ghost || isCommit && t.to == i // may still reach the table
		return t.toAgent || t.to != i || isCommit
	})
	s := NewShard(0, oleandervalve.EntryID(fmt.Sprint("e", i)), fmt.Sprintf("e%d.%d", i, w.sequence), &chooser{offset: i, agents: len(w.agents)}, DefaultSettings)
	w.shards[i] = s
	var rows []oleandervalve.Row
	for _, k := range sortedKeys(w.rows) {
		rows = append(rows, w.rows[k])
	}
	w.fromShard(i)(s.Observe(w.now, rows...))
}

// boot starts a new agent process on a worker; calls of the old one may still
// be on their way to the platform, messages end with the connection.
func (w *world) boot(a *agent) {
	a.life++
	w.items = filter(w.items, func(t *item) bool {
		_, isAnswer := t.act.(answer)
		if t.toAgent {
			return w.agents[t.to] != a || !isMessage(t.act) && !isAnswer
		}
		return t.from < 0 || w.agents[t.from] != a
	})
	a.lease = lease.NewWorker(lease.WorkerLease)
	a.ledger = &ledger{used: map[Run]oleandervalve.Resources{}}
	a.runner = NewRunner(a.name, a.life, a.lease, a.ledger)
	a.lease.Renew(w.now, w.now)
	w.renew(a)
	w.fromAgent(a, a.runner.Tick(w.now))
	for i, s := range w.shards {
		w.fromShard(i)(s.WorkerConnected(w.now, a.name), nil)
	}
}

func (w *world) renew(a *agent) {
	k := oleandervalve.Key("workerLeases/" + a.name)
	w.put(oleandervalve.Put{Key: k, Value: []byte(fmt.Sprintf(`{"workers":{%q:{}}}`, a.name))}, "renew")
}

func (w *world) put(p oleandervalve.Put, id oleandervalve.MutationID) oleandervalve.Version {
	v := w.rows[p.Key].Version + 1
	w.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: v, MutationID: id, WrittenAt: w.now}
	return v
}

// commit is the table's side of a transaction.
func (w *world) commit(t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	for _, c := range t.Conditions {
		if r := w.rows[c.Key]; r.Version != c.Version || c.UnwrittenFor > 0 && w.now.Sub(r.WrittenAt) < c.UnwrittenFor {
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	c := oleandervalve.Committed{At: w.now}
	for _, p := range t.Puts {
		if before, err := ParseTask(w.rows[p.Key]); err == nil && strings.HasPrefix(string(p.Key), "tasks/") {
			w.count(before, p)
		}
		c.Versions = append(c.Versions, w.put(p, t.ID))
	}
	return c, nil
}

// count follows evictions and resumptions in the history of the rows.
func (w *world) count(before Stored, p oleandervalve.Put) {
	after, err := ParseTask(oleandervalve.Row{Value: p.Value})
	if err != nil {
		w.fail("unreadable row %s", p.Key)
	}
	if after.State == StateEvicted && before.State != StateEvicted {
		if w.evicted[before.Run()] {
			w.fail("run %v evicted twice", before.Run())
		}
		w.evicted[before.Run()] = true
	}
	if before.State == StateEvicted && after.State == StateAssigned {
		w.resumed[before.Run()]++
		if w.resumed[before.Run()] > 1 {
			w.fail("run %v resumed twice", before.Run())
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) add(t *item) {
	if w.eager {
		switch t.act.(type) {
		case Commit, Start, Stop, readBack:
		default:
			w.perform(t)
			return
		}
	} else {
		t.name = fmt.Sprintf("%T %+v", t.act, t.act)
	}
	w.items = append(w.items, t)
}

func isMessage(act any) bool {
	switch act.(type) {
	case Reserve, Release, Start, Stop, Query, Acknowledge, Reserved, Report, heartbeat, renewed:
		return true
	}
	return false
}

func index(n oleandervalve.WorkerID) int { return int(n[1] - '0') }

// fromShard queues the actions of an entry.
func (w *world) fromShard(i int) func([]Action, error) {
	return func(list []Action, err error) {
		if err != nil {
			w.fail("shard: %v", err)
		}
		for _, a := range list {
			t := &item{from: i, to: i, act: a, toAgent: true}
			switch m := a.(type) {
			case Message:
				t.to = index(m.To())
			case Commit:
				t.toAgent, t.from = false, -1
				t.attempt, _ = table.NewAttempt(m.Transaction)
			case Read:
				t.toAgent, t.from = false, -1
			}
			w.add(t)
		}
	}
}

// fromAgent queues the actions of an agent.
func (w *world) fromAgent(a *agent, list []Action) {
	to := index(a.name)
	for _, act := range list {
		switch m := act.(type) {
		case Reserved:
			// The answer goes to the entry that asked.
			w.add(&item{to: int(m.ID[1] - '0'), from: to, act: m})
		case Report:
			for i := range w.shards {
				w.add(&item{to: i, from: to, act: m})
			}
		default:
			t := &item{to: to, from: to, toAgent: true, life: a.life, act: act}
			w.add(t)
		}
	}
}

// perform carries out an item that has been taken off the list.
func (w *world) perform(t *item) {
	if !t.toAgent {
		s := w.shards[t.to]
		switch m := t.act.(type) {
		case Reserved:
			w.fromShard(t.to)(s.Reserved(w.now, m), nil)
		case Report:
			w.fromShard(t.to)(s.Reported(w.now, m), nil)
		case Read:
			var rows []oleandervalve.Row
			for _, k := range m.Keys {
				rows = append(rows, w.row(k))
			}
			w.fromShard(t.to)(s.Observe(w.now, rows...))
		case Commit:
			c, err := w.commit(m.Transaction)
			if !t.ghost {
				w.step(t, t.attempt.Answered(c, err))
			}
		case readBack:
			w.step(t, m.step)
		}
		return
	}
	a := w.agents[t.to]
	r := a.runner
	switch m := t.act.(type) {
	case Reserve:
		w.fromAgent(a, r.Reserve(w.now, m))
	case Release:
		w.fromAgent(a, r.Release(w.now, m))
	case Start:
		if run := (Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}); w.unfenced && r.runs[run] == nil && r.ended[run.Task].epoch >= run.Epoch {
			r.runs[run] = &activity{reservation: m.ID}
		}
		w.fromAgent(a, r.Start(w.now, m))
	case Stop:
		w.fromAgent(a, r.Stop(w.now, m))
	case Query:
		w.fromAgent(a, r.Query(w.now, m))
	case Acknowledge:
		w.fromAgent(a, r.Acknowledge(w.now, m))
	case answer:
		w.answered(a, m)
	case heartbeat:
		w.renew(a)
		w.add(&item{to: t.to, from: t.to, toAgent: true, act: renewed(m)})
	case renewed:
		a.lease.Renew(w.now, m.sentAt)
	default:
		w.call(t)
	}
}

func (w *world) row(k oleandervalve.Key) oleandervalve.Row {
	r := w.rows[k]
	r.Key = k
	return r
}

// step takes the next step of an attempt.
func (w *world) step(t *item, s table.Step) {
	for s.Kind == table.StepRead {
		var rows []oleandervalve.Row
		for _, k := range s.Keys {
			rows = append(rows, w.row(k))
		}
		s = t.attempt.ReadBack(rows, nil)
	}
	if s.Kind == table.StepCommit {
		w.add(&item{to: t.to, from: -1, act: Commit{Transaction: t.attempt.Transaction()}, attempt: t.attempt})
		return
	}
	w.fromShard(t.to)(w.shards[t.to].Resolved(w.now, t.attempt.Transaction().ID, s.Result))
}

// call is the platform's side of a call.
func (w *world) call(t *item) {
	a := w.agents[t.to]
	out := answer{outcome: CallDone}
	switch m := t.act.(type) {
	case PlatformStart:
		run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
		switch {
		case !w.now.Before(m.NotAfter):
			out.outcome = CallNoEffect
		case a.tasks[run] == nil && run.Epoch > a.fence[run.Task]:
			a.tasks[run] = &placed{spec: m.Spec, state: oleandervalve.PlatformRunning, until: w.now.Add(m.Lease)}
			w.starts[run]++
			if w.starts[run] > 1 {
				w.fail("run %v started %d times", run, w.starts[run])
			}
			if w.notRun[run.Task] {
				w.fail("run %v started after notRun", run)
			}
		}
	case PlatformRenew:
		for run, p := range a.tasks {
			for _, id := range m.Tasks {
				if run.Task == id && p.state == oleandervalve.PlatformRunning && w.now.Before(m.NotAfter) {
					p.until = w.now.Add(m.Lease)
				}
			}
		}
		return
	case PlatformStop:
		a.fence[m.Run.Task] = max(a.fence[m.Run.Task], m.Run.Epoch)
		if p := a.tasks[m.Run]; p != nil && p.state == oleandervalve.PlatformRunning {
			p.state = oleandervalve.PlatformStopped
		}
	case PlatformCheckpoint:
		if p := a.tasks[m.Run]; p == nil || p.state != oleandervalve.PlatformRunning {
			out.outcome = CallNoEffect
		}
	case PlatformStatus:
		out.status = a.status()
	}
	w.check()
	if t.life != a.life {
		return
	}
	out.call, out.at = t.act.(Action), w.now
	w.add(&item{to: t.to, from: t.to, toAgent: true, life: t.life, act: out})
}

func (a *agent) status() oleandervalve.WorkerStatus {
	s := oleandervalve.WorkerStatus{Worker: a.name}
	for run, p := range a.tasks {
		if run.Epoch > 0 {
			s.Tasks = append(s.Tasks, oleandervalve.PlatformTask{Spec: p.spec, State: p.state})
		}
	}
	sort.Slice(s.Tasks, func(i, j int) bool {
		x, y := s.Tasks[i].Spec, s.Tasks[j].Spec
		return x.Task < y.Task || x.Task == y.Task && x.Epoch < y.Epoch
	})
	return s
}

func (w *world) answered(a *agent, m answer) {
	r := a.runner
	var list []Action
	switch c := m.call.(type) {
	case PlatformStart:
		list = r.StartDone(w.now, Run{Task: c.Spec.Task, Epoch: c.Spec.Epoch}, m.outcome)
	case PlatformStop:
		list = r.StopDone(w.now, c.Run, m.outcome)
	case PlatformCheckpoint:
		list = r.CheckpointDone(w.now, c.Run, m.outcome)
	case StoreCheckpoint:
		list = r.StoreDone(w.now, c.Run, m.outcome)
	case PlatformStatus:
		list = r.Observed(w.now, c.AskedAt, m.status)
	}
	w.fromAgent(a, list)
}

// advance lets time pass; the platform stops tasks whose lease lapses.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		for _, p := range a.tasks {
			if p.state == oleandervalve.PlatformRunning && !w.now.Before(p.until) {
				p.state = oleandervalve.PlatformStopped
			}
		}
	}
}

// check looks for two places of one task, more work than a worker holds, and
// work reported as not run that has started.
func (w *world) check() {
	running := map[oleandervalve.TaskID]int{}
	for _, a := range w.agents {
		used := oleandervalve.Resources{}
		for run, p := range a.tasks {
			if p.state == oleandervalve.PlatformRunning {
				running[run.Task]++
				used = used.Add(p.spec.Size)
			}
		}
		if !used.Fits(capacity) || !a.ledger.sum().Fits(capacity) {
			w.fail("worker %s holds %v, reserved %v", a.name, used, a.ledger.sum())
		}
	}
	for id, n := range running {
		if n > 1 {
			w.fail("task %s runs in %d places", id, n)
		}
	}
	for k, row := range w.rows {
		if s, err := ParseTask(row); err == nil && strings.HasPrefix(string(k), "tasks/") {
			g, _ := ParseGroup(w.rows[GroupKey(s.Job)])
			if !ViewOf(s.Record, g.Group).NotRun {
				continue
			}
			w.notRun[s.Task()] = true
			for run := range w.starts {
				if run.Task == s.Task() {
					w.fail("task %s is notRun after a start", s.Task())
				}
			}
		}
	}
}

func filter(list []*item, keep func(*item) bool) []*item {
	var kept []*item
	for _, t := range list {
		if keep(t) {
			kept = append(kept, t)
		}
	}
	return kept
}

func sortedKeys(m map[oleandervalve.Key]oleandervalve.Row) []oleandervalve.Key {
	keys := make([]oleandervalve.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
