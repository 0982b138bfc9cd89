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

// cluster simulates two entries and two workers with a table, a platform that
// counts starts, and messages that can be delayed, repeated or lost. The method
// events lists every possible next event.
type cluster struct {
	now      time.Time
	rows     map[oleandervalve.Key]oleandervalve.Row
	shards   []*Shard
	agents   []*agent
	inFlight []*operation
	sequence int
	// eager delays only commits, starts and stops and performs everything else at
	// once, to shorten explorations; agents tick when the time advances.
	eager bool
	// skipsEpochCheck breaks the agent: it starts a run whose end it has already
	// reported.
	skipsEpochCheck bool
	// ignoresTableClock breaks the takeover: the table does not check that the
	// worker's lease has expired.
	ignoresTableClock bool
	// budget is the number of faults of each kind that may still happen.
	budget    map[string]int
	starts    map[Run]int
	evicted   map[Run]bool
	resumed   map[Run]int
	notRun    map[oleandervalve.TaskID]bool
	jobs      []oleandervalve.JobID
	violation string
}

// operation is a message, a commit or a call that is in flight.
type operation struct {
	name        string
	to          int // shard, or worker of a message or call
	from        int
	toAgent     bool
	incarnation Incarnation // of the agent that the operation belongs to
	action      any
	abandoned   bool // a commit whose answer is no longer awaited
	attempt     *table.Attempt
}

// callResult is the result of a platform or object store call, not yet delivered to
// the agent.
type callResult struct {
	call    Action
	outcome Outcome
	status  oleandervalve.WorkerStatus
	at      time.Time
}

// readBack is the read that determines the outcome of a commit whose answer is lost.
type readBack struct{ step table.Step }

// heartbeat requests the renewal of the worker's lease; renewed confirms that it
// has been committed.
type heartbeat struct{ sentAt time.Time }

type renewed struct{ sentAt time.Time }

type agent struct {
	name        oleandervalve.WorkerID
	incarnation Incarnation
	lease       *lease.WorkerLease
	ledger      *ledger
	runner      *Runner
	// tasks and fence are the platform's state of the worker.
	tasks map[Run]*platformRun
	fence map[oleandervalve.TaskID]oleandervalve.Epoch
}

type platformRun struct {
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

// chooser alternates between the workers, starting with a different one at each
// entry, so that two owners of the shard disagree.
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

// jobsOfShardZero returns n jobs that belong to shard 0.
func jobsOfShardZero(n int) (list []oleandervalve.JobID) {
	for i := 0; len(list) < n; i++ {
		if j := oleandervalve.JobID(fmt.Sprintf("j%d", i)); ShardOf(j) == 0 {
			list = append(list, j)
		}
	}
	return list
}

func newCluster(jobs, tasks int) *cluster {
	cl := &cluster{
		now: time.Unix(1_000_000, 0), rows: map[oleandervalve.Key]oleandervalve.Row{},
		budget: map[string]int{}, starts: map[Run]int{}, evicted: map[Run]bool{}, resumed: map[Run]int{},
		notRun: map[oleandervalve.TaskID]bool{}, jobs: jobsOfShardZero(jobs),
	}
	for i := range 2 {
		a := &agent{name: workerName(i), tasks: map[Run]*platformRun{}, fence: map[oleandervalve.TaskID]oleandervalve.Epoch{}}
		cl.agents = append(cl.agents, a)
		cl.renewLease(a)
		cl.startAgent(a)
	}
	for _, j := range cl.jobs {
		var records []Record
		for i := range tasks {
			records = append(records, Record{Spec: oleandervalve.TaskSpec{Task: oleandervalve.TaskID(fmt.Sprintf("%s/%d", j, i)), Size: taskSize}})
		}
		if _, err := cl.commit(Create(oleandervalve.MutationID("create-"+string(j)), Header{Job: j}, records)); err != nil {
			cl.recordViolation("submission: %v", err)
		}
	}
	for i := range 2 {
		cl.shards = append(cl.shards, nil)
		cl.rebuild(i)
	}
	for len(cl.inFlight) > 0 { // the agents read the platform's status
		op := cl.inFlight[0]
		cl.inFlight = cl.inFlight[1:]
		cl.perform(op)
	}
	return cl
}

// rebuild replaces an entry's shard by a new one, as if another owner had taken
// over the shard.
func (cl *cluster) rebuild(i int) {
	cl.sequence++
	cl.inFlight = filterOperations(cl.inFlight, func(op *operation) bool {
		_, isCommit := op.action.(Commit)
		op.abandoned = op.abandoned || isCommit && op.to == i // may still reach the table
		return op.toAgent || op.to != i || isCommit
	})
	s := NewShard(0, oleandervalve.EntryID(fmt.Sprint("e", i)), fmt.Sprintf("e%d.%d", i, cl.sequence), &chooser{offset: i, agents: len(cl.agents)}, DefaultSettings)
	cl.shards[i] = s
	var rows []oleandervalve.Row
	for _, k := range sortedKeys(cl.rows) {
		rows = append(rows, cl.rows[k])
	}
	cl.fromShard(i)(s.Observe(cl.now, rows...))
}

// startAgent starts a new agent process on a worker. Calls of the old process to the
// platform stay in flight; its messages are dropped with the connection.
func (cl *cluster) startAgent(a *agent) {
	a.incarnation++
	cl.inFlight = filterOperations(cl.inFlight, func(op *operation) bool {
		_, isAnswer := op.action.(callResult)
		if op.toAgent {
			return cl.agents[op.to] != a || !isMessage(op.action) && !isAnswer
		}
		return op.from < 0 || cl.agents[op.from] != a
	})
	a.lease = lease.NewWorkerLease(lease.WorkerTTL)
	a.ledger = &ledger{used: map[Run]oleandervalve.Resources{}}
	a.runner = NewRunner(a.name, a.incarnation, a.lease, a.ledger)
	a.lease.Renew(cl.now, cl.now)
	cl.renewLease(a)
	cl.fromAgent(a, a.runner.Tick(cl.now))
	for i, s := range cl.shards {
		cl.fromShard(i)(s.WorkerConnected(cl.now, a.name), nil)
	}
}

// renewLease writes the row of the worker's lease.
func (cl *cluster) renewLease(a *agent) {
	k := oleandervalve.Key("workerLeases/" + a.name)
	cl.put(oleandervalve.Put{Key: k, Value: []byte(fmt.Sprintf(`{"workers":{%q:{}}}`, a.name))}, "renew")
}

func (cl *cluster) put(p oleandervalve.Put, id oleandervalve.MutationID) oleandervalve.Version {
	v := cl.rows[p.Key].Version + 1
	cl.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: v, MutationID: id, WrittenAt: cl.now}
	return v
}

// commit applies a transaction to the table.
func (cl *cluster) commit(t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	for _, c := range t.Conditions {
		if r := cl.rows[c.Key]; r.Version != c.Version || c.UnwrittenFor > 0 && cl.now.Sub(r.WrittenAt) < c.UnwrittenFor {
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	c := oleandervalve.Committed{At: cl.now}
	for _, p := range t.Puts {
		if before, err := ParseTask(cl.rows[p.Key]); err == nil && strings.HasPrefix(string(p.Key), "tasks/") {
			cl.trackEvictions(before, p)
		}
		c.Versions = append(c.Versions, cl.put(p, t.ID))
	}
	return c, nil
}

// trackEvictions records evictions and resumptions from the change of a row.
func (cl *cluster) trackEvictions(before Stored, p oleandervalve.Put) {
	after, err := ParseTask(oleandervalve.Row{Value: p.Value})
	if err != nil {
		cl.recordViolation("unreadable row %s", p.Key)
	}
	if after.State == StateEvicted && before.State != StateEvicted {
		if cl.evicted[before.Run()] {
			cl.recordViolation("run %v evicted twice", before.Run())
		}
		cl.evicted[before.Run()] = true
	}
	if before.State == StateEvicted && after.State == StateAssigned {
		cl.resumed[before.Run()]++
		if cl.resumed[before.Run()] > 1 {
			cl.recordViolation("run %v resumed twice", before.Run())
		}
	}
}

func (cl *cluster) recordViolation(format string, args ...any) {
	if cl.violation == "" {
		cl.violation = fmt.Sprintf(format, args...)
	}
}

func (cl *cluster) enqueue(op *operation) {
	if cl.eager {
		switch op.action.(type) {
		case Commit, Start, Stop, readBack:
		default:
			cl.perform(op)
			return
		}
	} else {
		op.name = fmt.Sprintf("%T %+v", op.action, op.action)
	}
	cl.inFlight = append(cl.inFlight, op)
}

func isMessage(act any) bool {
	switch act.(type) {
	case Reserve, Release, Start, Stop, Query, Acknowledge, Reserved, Report, heartbeat, renewed:
		return true
	}
	return false
}

func workerIndex(n oleandervalve.WorkerID) int { return int(n[1] - '0') }

// fromShard queues the actions of an entry.
func (cl *cluster) fromShard(i int) func([]Action, error) {
	return func(list []Action, err error) {
		if err != nil {
			cl.recordViolation("shard: %v", err)
		}
		for _, a := range list {
			op := &operation{from: i, to: i, action: a, toAgent: true}
			switch m := a.(type) {
			case Message:
				op.to = workerIndex(m.To())
			case Commit:
				op.toAgent, op.from = false, -1
				op.attempt, _ = table.NewAttempt(m.Transaction)
			case Read:
				op.toAgent, op.from = false, -1
			}
			cl.enqueue(op)
		}
	}
}

// fromAgent queues the actions of an agent.
func (cl *cluster) fromAgent(a *agent, list []Action) {
	to := workerIndex(a.name)
	for _, act := range list {
		switch m := act.(type) {
		case Reserved:
			// The answer goes to the entry that sent the request.
			cl.enqueue(&operation{to: int(m.ID[1] - '0'), from: to, action: m})
		case Report:
			for i := range cl.shards {
				cl.enqueue(&operation{to: i, from: to, action: m})
			}
		default:
			op := &operation{to: to, from: to, toAgent: true, incarnation: a.incarnation, action: act}
			cl.enqueue(op)
		}
	}
}

// perform performs an operation that has been removed from inFlight.
func (cl *cluster) perform(op *operation) {
	if !op.toAgent {
		s := cl.shards[op.to]
		switch m := op.action.(type) {
		case Reserved:
			cl.fromShard(op.to)(s.Reserved(cl.now, m), nil)
		case Report:
			cl.fromShard(op.to)(s.Reported(cl.now, m), nil)
		case Read:
			var rows []oleandervalve.Row
			for _, k := range m.Keys {
				rows = append(rows, cl.row(k))
			}
			cl.fromShard(op.to)(s.Observe(cl.now, rows...))
		case Commit:
			c, err := cl.commit(m.Transaction)
			if !op.abandoned {
				cl.runStep(op, op.attempt.HandleCommit(c, err))
			}
		case readBack:
			cl.runStep(op, m.step)
		}
		return
	}
	a := cl.agents[op.to]
	r := a.runner
	switch m := op.action.(type) {
	case Reserve:
		cl.fromAgent(a, r.Reserve(cl.now, m))
	case Release:
		cl.fromAgent(a, r.Release(cl.now, m))
	case Start:
		if run := (Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}); cl.skipsEpochCheck && r.runs[run] == nil && r.fencedEpochs[run.Task].epoch >= run.Epoch {
			r.runs[run] = &runState{reservation: m.ID, phaseSince: cl.now}
		}
		cl.fromAgent(a, r.Start(cl.now, m))
	case Stop:
		cl.fromAgent(a, r.Stop(cl.now, m))
	case Query:
		cl.fromAgent(a, r.Query(cl.now, m))
	case Acknowledge:
		cl.fromAgent(a, r.Acknowledge(cl.now, m))
	case callResult:
		cl.deliverResult(a, m)
	case heartbeat:
		cl.renewLease(a)
		cl.enqueue(&operation{to: op.to, from: op.to, toAgent: true, action: renewed(m)})
	case renewed:
		a.lease.Renew(cl.now, m.sentAt)
	default:
		cl.callPlatform(op)
	}
}

func (cl *cluster) row(k oleandervalve.Key) oleandervalve.Row {
	r := cl.rows[k]
	r.Key = k
	return r
}

// runStep performs the next step of a commit attempt.
func (cl *cluster) runStep(op *operation, s table.Step) {
	for s.Kind == table.StepRead {
		var rows []oleandervalve.Row
		for _, k := range s.Keys {
			rows = append(rows, cl.row(k))
		}
		s = op.attempt.HandleRead(rows, nil)
	}
	if s.Kind == table.StepCommit {
		cl.enqueue(&operation{to: op.to, from: -1, action: Commit{Transaction: op.attempt.Transaction()}, attempt: op.attempt})
		return
	}
	cl.fromShard(op.to)(cl.shards[op.to].HandleResult(cl.now, op.attempt.Transaction().ID, s.Result))
}

// callPlatform performs a call at the platform.
func (cl *cluster) callPlatform(op *operation) {
	a := cl.agents[op.to]
	out := callResult{outcome: CallDone}
	switch m := op.action.(type) {
	case PlatformStart:
		run := Run{Task: m.Spec.Task, Epoch: m.Spec.Epoch}
		switch {
		case !cl.now.Before(m.NotAfter):
			out.outcome = CallNoEffect
		case a.tasks[run] == nil && run.Epoch > a.fence[run.Task]:
			a.tasks[run] = &platformRun{spec: m.Spec, state: oleandervalve.PlatformRunning, until: cl.now.Add(m.Lease)}
			cl.starts[run]++
			if cl.starts[run] > 1 {
				cl.recordViolation("run %v started %d times", run, cl.starts[run])
			}
			if cl.notRun[run.Task] {
				cl.recordViolation("run %v started after notRun", run)
			}
		}
	case PlatformRenew:
		for run, p := range a.tasks {
			for _, id := range m.Tasks {
				if run.Task == id && p.state == oleandervalve.PlatformRunning && cl.now.Before(m.NotAfter) {
					p.until = cl.now.Add(m.Lease)
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
	cl.checkInvariants()
	if op.incarnation != a.incarnation {
		return
	}
	out.call, out.at = op.action.(Action), cl.now
	cl.enqueue(&operation{to: op.to, from: op.to, toAgent: true, incarnation: op.incarnation, action: out})
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

func (cl *cluster) deliverResult(a *agent, m callResult) {
	r := a.runner
	var list []Action
	switch c := m.call.(type) {
	case PlatformStart:
		list = r.StartDone(cl.now, Run{Task: c.Spec.Task, Epoch: c.Spec.Epoch}, m.outcome)
	case PlatformStop:
		list = r.StopDone(cl.now, c.Run, m.outcome)
	case PlatformCheckpoint:
		list = r.CheckpointDone(cl.now, c.Run, m.outcome)
	case StoreCheckpoint:
		list = r.StoreDone(cl.now, c.Run, m.outcome)
	case PlatformStatus:
		list = r.Observed(cl.now, c.RequestedAt, m.status)
	}
	cl.fromAgent(a, list)
}

// advance moves the clock forward; the platform stops tasks whose lease expires.
func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, a := range cl.agents {
		for _, p := range a.tasks {
			if p.state == oleandervalve.PlatformRunning && !cl.now.Before(p.until) {
				p.state = oleandervalve.PlatformStopped
			}
		}
	}
}

// checkInvariants looks for a task that runs in two places, a worker whose
// capacity is exceeded, and a task reported as not run that has been started.
func (cl *cluster) checkInvariants() {
	running := map[oleandervalve.TaskID]int{}
	for _, a := range cl.agents {
		used := oleandervalve.Resources{}
		for run, p := range a.tasks {
			if p.state == oleandervalve.PlatformRunning {
				running[run.Task]++
				used = used.Add(p.spec.Size)
			}
		}
		if !used.Fits(capacity) || !a.ledger.sum().Fits(capacity) {
			cl.recordViolation("worker %s holds %v, reserved %v", a.name, used, a.ledger.sum())
		}
	}
	for id, n := range running {
		if n > 1 {
			cl.recordViolation("task %s runs in %d places", id, n)
		}
	}
	for k, row := range cl.rows {
		if s, err := ParseTask(row); err == nil && strings.HasPrefix(string(k), "tasks/") {
			g, _ := ParseJob(cl.rows[RowKey(s.Job)])
			if !ViewOf(s.Record, g.Header).NotRun {
				continue
			}
			cl.notRun[s.Task()] = true
			for run := range cl.starts {
				if run.Task == s.Task() {
					cl.recordViolation("task %s is notRun after a start", s.Task())
				}
			}
		}
	}
}

func filterOperations(list []*operation, keep func(*operation) bool) []*operation {
	var kept []*operation
	for _, op := range list {
		if keep(op) {
			kept = append(kept, op)
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
