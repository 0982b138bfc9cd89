package job

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/table"
)

// Choice is the answer to where a task should run.
type Choice struct {
	// Worker is where to reserve; empty if the task has to wait.
	Worker oleandervalve.WorkerID
	// Size is what to reserve; zero means the declared size.
	Size oleandervalve.Resources
	// Infeasible means that no worker could ever hold the task.
	Infeasible bool
	// Reason names the constraint that excludes the task for now or for good.
	Reason oleandervalve.Reason
}

// Chooser decides on which worker a task should run.
type Chooser interface {
	Choose(now time.Time, r Record) Choice
	// Refused tells that the chosen worker did not grant the reservation or did
	// not start the task.
	Refused(now time.Time, w oleandervalve.WorkerID, r Record, why oleandervalve.Reason)
}

// Settings holds the limits of a Shard.
type Settings struct {
	Backoff Backoff
	// AskTimeout is the wait for an agent's answer to a reservation.
	AskTimeout time.Duration
	// Resend is the interval of messages to agents that are not answered.
	Resend time.Duration
	// Retry is the wait after a transaction was not applied.
	Retry time.Duration
	// Asks bounds the reservations and assignments under way at once.
	Asks int
	// Choices bounds the placement decisions of one Tick.
	Choices int
}

// DefaultSettings suits connections of a few milliseconds.
var DefaultSettings = Settings{
	Backoff: DefaultBackoff, AskTimeout: 2 * time.Second, Resend: 2 * time.Second,
	Retry: time.Second, Asks: 256, Choices: 1024,
}

// maxTasks bounds the tasks of one submission, which is one transaction.
const maxTasks = 256

// Reasons given by a Shard.
const (
	ReasonWorkerLost   oleandervalve.Reason = "workerLost"
	ReasonNoAnswer     oleandervalve.Reason = "noAnswer"
	ReasonJobCancelled oleandervalve.Reason = "jobCancelled"
	ReasonObsolete     oleandervalve.Reason = "obsoleteRun"
)

// Shard decides for the tasks of one shard at the entry that owns it. It keeps
// nothing that it can't rebuild from a scan of the rows and the agents' reports,
// and two Shards for the same tasks do no harm.
type Shard struct {
	id       oleandervalve.ShardID
	entry    oleandervalve.EntryID
	prefix   string
	chooser  Chooser
	settings Settings
	ids      uint64
	jobs     map[oleandervalve.JobID]*groupState
	tasks    map[oleandervalve.TaskID]*taskState
	commits  map[oleandervalve.MutationID]commitState
	asks     map[oleandervalve.MutationID]*taskState
	// waiting holds the tasks that can be assigned, in their order of placement.
	waiting []*taskState
	sorted  bool
	cursor  int
}

type groupState struct {
	stored StoredGroup
	tasks  []oleandervalve.TaskID
	askAt  time.Time
}

type taskState struct {
	stored Stored
	commit oleandervalve.MutationID
	ask    *askState
	report *Report
	evict  oleandervalve.Reason
	// lost holds the conditions of a takeover from a lost worker.
	lost    []oleandervalve.Condition
	isLost  bool
	sentAt  time.Time
	retryAt time.Time
	queued  bool
	// why is the reason of the last decision to let the task wait.
	why oleandervalve.Reason
}

type askState struct {
	id      oleandervalve.MutationID
	run     Run
	worker  oleandervalve.WorkerID
	at      time.Time
	granted bool
}

type commitState struct {
	task        *taskState
	transaction oleandervalve.Transaction
}

// NewShard returns an empty shard; the prefix makes its mutation ids unique
// among all processes and restarts.
func NewShard(id oleandervalve.ShardID, e oleandervalve.EntryID, prefix string, c Chooser, s Settings) *Shard {
	return &Shard{
		id: id, entry: e, prefix: prefix, chooser: c, settings: s,
		jobs:    map[oleandervalve.JobID]*groupState{},
		tasks:   map[oleandervalve.TaskID]*taskState{},
		commits: map[oleandervalve.MutationID]commitState{},
		asks:    map[oleandervalve.MutationID]*taskState{},
	}
}

// Task returns the newest known record of a task.
func (s *Shard) Task(id oleandervalve.TaskID) (Stored, bool) {
	t := s.tasks[id]
	if t == nil {
		return Stored{}, false
	}
	return t.stored, true
}

// Job returns the newest known row of a job.
func (s *Shard) Job(id oleandervalve.JobID) (StoredGroup, bool) {
	j := s.jobs[id]
	if j == nil || j.stored.Version == 0 {
		return StoredGroup{}, false
	}
	return j.stored, true
}

// WaitReason returns why the last placement decision let a task wait.
func (s *Shard) WaitReason(id oleandervalve.TaskID) oleandervalve.Reason {
	if t := s.tasks[id]; t != nil {
		return t.why
	}
	return ""
}

// Submit returns the commit that accepts a job; it is accepted when applied.
func (s *Shard) Submit(now time.Time, g Group, records []Record) ([]Action, error) {
	if len(records) == 0 || len(records) > maxTasks {
		return nil, &oleandervalve.InvalidError{
			Field: "tasks", Value: fmt.Sprint(len(records)),
			Remedy: fmt.Sprintf("submit between 1 and %d tasks in one job", maxTasks),
		}
	}
	if ShardOf(g.Job) != s.id {
		return nil, &oleandervalve.InvalidError{
			Field: "job", Value: string(g.Job), Remedy: fmt.Sprintf("submit it to shard %d", ShardOf(g.Job)),
		}
	}
	own := make([]Record, len(records))
	for i, r := range records {
		if Parent(r.Task()) != g.Job {
			return nil, &oleandervalve.InvalidError{
				Field: "task", Value: string(r.Task()), Remedy: fmt.Sprintf("name the tasks %s/<index>", g.Job),
			}
		}
		r.SubmittedAt = now.Round(0)
		own[i] = r
	}
	return []Action{s.commit(nil, Create(s.newID(), g, own), table.Configuring)}, nil
}

// Cancel returns the commit of a job's cancellation mark; the job is cancelled
// when it is applied. A job that is cancelled already needs none.
func (s *Shard) Cancel(j oleandervalve.JobID, why oleandervalve.Reason) ([]Action, error) {
	g, ok := s.Job(j)
	if !ok {
		return nil, &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the job's id"}
	}
	if g.Cancelled {
		return nil, nil
	}
	if why == "" {
		why = ReasonJobCancelled
	}
	return []Action{s.commit(nil, g.Cancel(s.newID(), s.entry, why), table.Configuring)}, nil
}

// Evict asks for a running task to be stopped with a checkpoint.
func (s *Shard) Evict(now time.Time, id oleandervalve.TaskID, why oleandervalve.Reason) ([]Action, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "check the task's id"}
	}
	if t.stored.State != StateRunning {
		return nil, t.stored.refuse(StateCheckpointing)
	}
	t.evict = why
	return s.settle(now, t), nil
}

// EvictWorker asks for all running tasks of a worker to be evicted, before a
// planned stop of the worker or its agent.
func (s *Shard) EvictWorker(now time.Time, w oleandervalve.WorkerID, why oleandervalve.Reason) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w && t.stored.State == StateRunning {
			t.evict = why
			list = append(list, s.settle(now, t)...)
		}
	}
	return list
}

// Throttle asks for a running task to be limited to a share of its processors.
// It is not recorded: a task that moves runs unthrottled again.
func (s *Shard) Throttle(id oleandervalve.TaskID, share float64) ([]Action, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "check the task's id"}
	}
	if t.stored.State != StateRunning {
		return nil, t.stored.refuse("throttled")
	}
	return []Action{Throttle{Worker: t.stored.Worker, Run: t.stored.Run(), Share: share}}, nil
}

// Counts returns the number of tasks in each state, with cancelled jobs applied.
func (s *Shard) Counts() map[State]int {
	n := map[State]int{}
	for _, t := range s.tasks {
		n[ViewOf(t.stored.Record, s.job(t.stored.Job).stored.Group).State]++
	}
	return n
}

// Unpark returns a parked task to the queue.
func (s *Shard) Unpark(id oleandervalve.TaskID) ([]Action, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "check the task's id"}
	}
	if t.commit != "" {
		return nil, t.stored.refuse(StateQueued)
	}
	c, err := t.stored.Unpark(s.newID())
	if err != nil {
		return nil, err
	}
	return []Action{s.commit(t, c.Transaction, table.Configuring)}, nil
}

// Observe takes rows of jobs and tasks as read from the table, the jobs' rows
// first; rows of other shards and rows older than those known are ignored. Rows
// that can't be read are reported and left out.
func (s *Shard) Observe(now time.Time, rows ...oleandervalve.Row) ([]Action, error) {
	var list []Action
	var failed error
	for _, row := range rows {
		var err error
		switch {
		case strings.HasPrefix(string(row.Key), "jobs/"):
			var more []Action
			more, err = s.observeJob(row)
			list = append(list, more...)
		case strings.HasPrefix(string(row.Key), string(TaskPrefix(s.id))):
			var more []Action
			more, err = s.observeTask(now, row)
			list = append(list, more...)
		}
		failed = errors.CombineErrors(failed, err)
	}
	// A cancellation seen in a job's row concerns tasks in any of the rows.
	for _, row := range rows {
		j := oleandervalve.JobID(strings.TrimPrefix(string(row.Key), "jobs/"))
		if g := s.jobs[j]; g != nil && g.stored.Cancelled {
			for _, id := range g.tasks {
				list = append(list, s.settle(now, s.tasks[id])...)
			}
		}
	}
	return list, failed
}

func (s *Shard) observeJob(row oleandervalve.Row) ([]Action, error) {
	j := oleandervalve.JobID(strings.TrimPrefix(string(row.Key), "jobs/"))
	if ShardOf(j) != s.id || row.Version <= s.job(j).stored.Version {
		return nil, nil
	}
	n, err := ParseGroup(row)
	if err != nil {
		return nil, err
	}
	g := s.job(j)
	marked := n.Cancelled && !g.stored.Cancelled
	g.stored = n
	if !marked {
		return nil, nil
	}
	// Another owner's assignment may have been committed between the last read
	// of a waiting task and the mark. Nothing is written for waiting tasks of a
	// cancelled job, so no conflict would ever reveal it.
	var keys []oleandervalve.Key
	for _, id := range g.tasks {
		if t := s.tasks[id]; !t.stored.State.Placed() && !t.stored.State.Terminal() {
			keys = append(keys, TaskKey(j, id))
		}
	}
	if len(keys) == 0 {
		return nil, nil
	}
	return []Action{Read{Keys: keys}}, nil
}

func (s *Shard) observeTask(now time.Time, row oleandervalve.Row) ([]Action, error) {
	id := oleandervalve.TaskID(strings.TrimPrefix(string(row.Key), string(TaskPrefix(s.id))))
	t := s.tasks[id]
	if row.Version == 0 || t != nil && row.Version <= t.stored.Version {
		return nil, nil
	}
	n, err := ParseTask(row)
	if err != nil {
		return nil, err
	}
	if t == nil {
		t = &taskState{}
		s.tasks[id] = t
		j := s.job(n.Job)
		j.tasks = append(j.tasks, id)
	}
	if n.State != t.stored.State || n.Epoch != t.stored.Epoch {
		t.sentAt, t.retryAt, t.evict, t.lost, t.isLost = time.Time{}, time.Time{}, "", nil, false
	}
	t.stored = n
	if n.State.Waiting() && !t.queued {
		t.queued, s.sorted = true, false
		s.waiting = append(s.waiting, t)
	}
	return s.settle(now, t), nil
}

func (s *Shard) job(j oleandervalve.JobID) *groupState {
	if s.jobs[j] == nil {
		s.jobs[j] = &groupState{}
	}
	return s.jobs[j]
}

// Resolved takes the result of a commit.
func (s *Shard) Resolved(now time.Time, id oleandervalve.MutationID, r table.Result) ([]Action, error) {
	c, ok := s.commits[id]
	if !ok {
		return nil, nil
	}
	delete(s.commits, id)
	if c.task != nil {
		c.task.commit = ""
	}
	var list []Action
	var failed error
	if r.Resolution == table.Applied {
		rows := make([]oleandervalve.Row, len(c.transaction.Puts))
		for i, p := range c.transaction.Puts {
			rows[i] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: r.Versions[i], MutationID: id, WrittenAt: r.At}
		}
		list, failed = s.Observe(now, rows...)
	} else if t := c.task; t != nil {
		t.retryAt = now.Add(s.settings.Retry)
		// A takeover that the table refused must be proposed again with the
		// current renewal row.
		t.lost, t.isLost = nil, false
	}
	more, err := s.Observe(now, r.Rows...)
	list = append(list, more...)
	if t := c.task; t != nil {
		list = append(list, s.settle(now, t)...)
	}
	return list, errors.CombineErrors(failed, err)
}

// Reserved takes an agent's answer to a reservation.
func (s *Shard) Reserved(now time.Time, m Reserved) []Action {
	t := s.asks[m.ID]
	if t == nil || t.ask.granted {
		if m.Granted && t == nil {
			return []Action{Release{Worker: m.Worker, Run: m.Run, ID: m.ID}}
		}
		return nil
	}
	if !m.Granted {
		s.dropAsk(now, t, m.Reason)
		return nil
	}
	g, ok := s.Job(t.stored.Job)
	if !ok || t.commit != "" {
		return s.abandon(now, t, "")
	}
	c, err := t.stored.Assign(now, s.newID(), Grant{Worker: m.Worker, Incarnation: m.Incarnation, Reservation: m.ID}, g)
	if err != nil {
		return s.abandon(now, t, "")
	}
	t.ask.granted = true
	return []Action{s.commit(t, c.Transaction, table.Starting)}
}

// Reported takes an agent's report of a run.
func (s *Shard) Reported(now time.Time, m Report) []Action {
	if ShardOf(Parent(m.Run.Task)) != s.id {
		return nil
	}
	t := s.tasks[m.Run.Task]
	if t == nil || m.Run.Epoch > t.stored.Epoch {
		// Another owner has assigned the task since this one read its row.
		return []Action{Read{Keys: []oleandervalve.Key{TaskKey(Parent(m.Run.Task), m.Run.Task)}}}
	}
	if !s.current(t, m) {
		return []Action{obsolete(m)}
	}
	if t.report == nil || t.report.Status == StatusRunning {
		t.report = &m
	}
	list := s.settle(now, t)
	if m.Status == StatusRunning && t.stored.State != StateAssigned {
		list = append(list, Acknowledge{Worker: m.Worker, Run: m.Run, Status: m.Status})
	}
	return list
}

// current reports whether a report is about the run that the record names.
func (s *Shard) current(t *taskState, m Report) bool {
	return t.stored.State.Placed() && m.Run == t.stored.Run() && m.Worker == t.stored.Worker
}

// obsolete answers a report of a run that the record no longer names, which is
// final: an epoch never becomes current again.
func obsolete(m Report) Action {
	if m.Status == StatusRunning {
		return Stop{Worker: m.Worker, Run: m.Run, Reason: ReasonObsolete}
	}
	return Acknowledge{Worker: m.Worker, Run: m.Run, Status: m.Status}
}

// WorkerGone tells that the platform has confirmed that a worker runs nothing and never will again.
func (s *Shard) WorkerGone(now time.Time, w oleandervalve.WorkerID) []Action {
	return s.takeOver(now, w, nil)
}

// WorkerLost tells that a worker's lease seems to have expired; the condition
// from lease.Expired lets the table decide.
func (s *Shard) WorkerLost(now time.Time, w oleandervalve.WorkerID, c oleandervalve.Condition) []Action {
	return s.takeOver(now, w, []oleandervalve.Condition{c})
}

func (s *Shard) takeOver(now time.Time, w oleandervalve.WorkerID, c []oleandervalve.Condition) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w {
			t.isLost, t.lost, t.retryAt = true, c, time.Time{}
			list = append(list, s.settle(now, t)...)
		}
	}
	return list
}

// WorkerConnected tells that an agent has connected, perhaps after a restart:
// what it said of its runs before is asked again.
func (s *Shard) WorkerConnected(now time.Time, w oleandervalve.WorkerID) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w {
			if t.report != nil && t.report.Status == StatusRunning {
				t.report = nil
			}
			t.sentAt = time.Time{}
			list = append(list, s.settle(now, t)...)
		}
	}
	return list
}

// Placed returns the tasks that are bound to the worker, or to any worker if it
// is empty, in order.
func (s *Shard) Placed(w oleandervalve.WorkerID) []Stored {
	var list []Stored
	for _, t := range s.placed() {
		if w == "" || t.stored.Worker == w {
			list = append(list, t.stored)
		}
	}
	return list
}

// placed returns the tasks that are bound to a worker, in order.
func (s *Shard) placed() []*taskState {
	var list []*taskState
	for _, t := range s.tasks {
		if t.stored.State.Placed() {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].stored.Task() < list[j].stored.Task() })
	return list
}

func (s *Shard) newID() oleandervalve.MutationID {
	s.ids++
	return oleandervalve.MutationID(fmt.Sprintf("%s-%d-%d", s.prefix, s.id, s.ids))
}

func (s *Shard) commit(t *taskState, tx oleandervalve.Transaction, p table.Priority) Action {
	s.commits[tx.ID] = commitState{task: t, transaction: tx}
	if t != nil {
		t.commit = tx.ID
	}
	return Commit{Transaction: tx, Priority: p}
}
