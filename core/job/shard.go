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

// Choice is a placement decision for one task.
type Choice struct {
	// Worker is the worker to reserve resources on; empty if the task has to wait.
	Worker oleandervalve.WorkerID
	// Size is the resources to reserve; zero means the declared size.
	Size oleandervalve.Resources
	// Infeasible means that no worker could ever run the task.
	Infeasible bool
	// Reason names the constraint that prevents the placement, temporarily or
	// permanently.
	Reason oleandervalve.Reason
}

// Chooser decides on which worker a task should run.
type Chooser interface {
	Choose(now time.Time, r Record) Choice
	// Refused reports that the chosen worker did not grant the reservation or did
	// not start the task.
	Refused(now time.Time, w oleandervalve.WorkerID, r Record, reason oleandervalve.Reason)
}

// Settings holds the limits of a Shard.
type Settings struct {
	Backoff Backoff
	// ReservationTimeout is how long to wait for an agent's answer to a Reserve.
	ReservationTimeout time.Duration
	// ResendInterval is the interval at which unanswered messages to agents are
	// repeated.
	ResendInterval time.Duration
	// RetryDelay is the delay before the next attempt after a transaction was not
	// applied.
	RetryDelay time.Duration
	// MaxReservationsInFlight limits the reservations and assignments in flight.
	MaxReservationsInFlight int
	// MaxDecisionsPerTick limits the placement decisions of one Tick.
	MaxDecisionsPerTick int
}

// DefaultSettings is meant for connections with a latency of a few milliseconds.
var DefaultSettings = Settings{
	Backoff: DefaultBackoff, ReservationTimeout: 2 * time.Second, ResendInterval: 2 * time.Second,
	RetryDelay: time.Second, MaxReservationsInFlight: 256, MaxDecisionsPerTick: 1024,
}

// maxTasks limits the tasks of one job, which is submitted in one transaction.
const maxTasks = 256

// Reasons given by a Shard.
const (
	ReasonWorkerLost   oleandervalve.Reason = "workerLost"
	ReasonWorkersLost  oleandervalve.Reason = "workersLost"
	ReasonNoAnswer     oleandervalve.Reason = "noAnswer"
	ReasonJobCancelled oleandervalve.Reason = "jobCancelled"
	ReasonObsolete     oleandervalve.Reason = "obsoleteRun"
)

// Shard manages the tasks of one shard at the entry that owns it. All its state
// can be rebuilt from a scan of the rows and the agents' reports. Two Shards that
// manage the same tasks at once are safe.
type Shard struct {
	id                  oleandervalve.ShardID
	entry               oleandervalve.EntryID
	prefix              string
	chooser             Chooser
	settings            Settings
	lastID              uint64
	jobs                map[oleandervalve.JobID]*jobState
	tasks               map[oleandervalve.TaskID]*taskState
	commits             map[oleandervalve.MutationID]commitState
	pendingReservations map[oleandervalve.MutationID]*taskState
	// waiting holds the tasks that can be assigned, in placement order.
	waiting []*taskState
	// sorted is false if tasks have been added to waiting since it was last sorted.
	sorted bool
	// cursor is the position after the head of waiting at which the last Tick ended.
	cursor int
}

type jobState struct {
	stored StoredJob
	tasks  []oleandervalve.TaskID
	// rowRequestedAt is when the job's row was last requested, if it was missing.
	rowRequestedAt time.Time
}

type taskState struct {
	stored Stored
	// commit is the ID of the commit in flight that changes the task, or "".
	commit oleandervalve.MutationID
	// reservation is the reservation for the next run, or nil.
	reservation *reservationState
	// report is the latest report of the current run, or nil.
	report *Report
	// evictReason is set if the running task has to be evicted.
	evictReason oleandervalve.Reason
	// takeover is set if the task has to be taken over from its worker, and
	// takeoverConditions are the conditions of the transaction that does so.
	takeoverConditions []oleandervalve.Condition
	takeover           bool
	// sentAt is when the last message about the current state was sent to the agent.
	sentAt time.Time
	// retryAt is the earliest time of the next attempt after a transaction was not
	// applied.
	retryAt time.Time
	// queued means that the task is in Shard.waiting.
	queued bool
	// waitReason is why the last placement decision let the task wait.
	waitReason oleandervalve.Reason
}

type reservationState struct {
	id          oleandervalve.MutationID
	run         Run
	worker      oleandervalve.WorkerID
	requestedAt time.Time
	// granted means that a commit of the assignment under the reservation has been
	// requested.
	granted bool
}

// commitState is a commit in flight; task is nil if it doesn't change a known task.
type commitState struct {
	task        *taskState
	transaction oleandervalve.Transaction
}

// NewShard returns an empty shard. The prefix must be unique among all processes
// and restarts; it makes the mutation IDs unique.
func NewShard(id oleandervalve.ShardID, e oleandervalve.EntryID, prefix string, c Chooser, s Settings) *Shard {
	return &Shard{
		id: id, entry: e, prefix: prefix, chooser: c, settings: s,
		jobs:                map[oleandervalve.JobID]*jobState{},
		tasks:               map[oleandervalve.TaskID]*taskState{},
		commits:             map[oleandervalve.MutationID]commitState{},
		pendingReservations: map[oleandervalve.MutationID]*taskState{},
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
func (s *Shard) Job(id oleandervalve.JobID) (StoredJob, bool) {
	j := s.jobs[id]
	if j == nil || j.stored.Version == 0 {
		return StoredJob{}, false
	}
	return j.stored, true
}

// Committing reports whether a change of a task's record has been sent to the table
// and its result is not known.
func (s *Shard) Committing(id oleandervalve.TaskID) bool {
	t := s.tasks[id]
	return t != nil && t.commit != ""
}

// WaitReason returns why the last placement decision let a task wait.
func (s *Shard) WaitReason(id oleandervalve.TaskID) oleandervalve.Reason {
	if t := s.tasks[id]; t != nil {
		return t.waitReason
	}
	return ""
}

// Submit returns the commit that creates a job with its tasks. The job is accepted
// once the commit is applied.
func (s *Shard) Submit(now time.Time, h Header, records []Record) ([]Action, error) {
	if len(records) == 0 || len(records) > maxTasks {
		return nil, &oleandervalve.InvalidError{
			Field: "tasks", Value: fmt.Sprint(len(records)),
			Remedy: fmt.Sprintf("submit between 1 and %d tasks in one job", maxTasks),
		}
	}
	if ShardOf(h.Job) != s.id {
		return nil, &oleandervalve.InvalidError{
			Field: "job", Value: string(h.Job), Remedy: fmt.Sprintf("submit it to shard %d", ShardOf(h.Job)),
		}
	}
	own := make([]Record, len(records))
	for i, r := range records {
		if Parent(r.Task()) != h.Job {
			return nil, &oleandervalve.InvalidError{
				Field: "task", Value: string(r.Task()), Remedy: fmt.Sprintf("name the tasks %s/<index>", h.Job),
			}
		}
		r.SubmittedAt = now.Round(0)
		own[i] = r
	}
	return []Action{s.commit(nil, Create(s.newID(), h, own), table.Configuring)}, nil
}

// Cancel returns the commit that marks a job as cancelled. The job is cancelled
// once the commit is applied. For a job that is already cancelled there is none.
func (s *Shard) Cancel(j oleandervalve.JobID, reason oleandervalve.Reason) ([]Action, error) {
	stored, ok := s.Job(j)
	if !ok {
		return nil, &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the job's id"}
	}
	if stored.Cancelled {
		return nil, nil
	}
	if reason == "" {
		reason = ReasonJobCancelled
	}
	return []Action{s.commit(nil, stored.Cancel(s.newID(), s.entry, reason), table.Configuring)}, nil
}

// Evict starts the eviction of a running task, which stops it with a checkpoint.
func (s *Shard) Evict(now time.Time, id oleandervalve.TaskID, reason oleandervalve.Reason) ([]Action, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "check the task's id"}
	}
	if t.stored.State != StateRunning {
		return nil, t.stored.stateError(StateCheckpointing)
	}
	t.evictReason = reason
	return s.reconcile(now, t), nil
}

// EvictWorker starts the eviction of all running tasks of a worker, in preparation
// for a planned stop of the worker or its agent.
func (s *Shard) EvictWorker(now time.Time, w oleandervalve.WorkerID, reason oleandervalve.Reason) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w && t.stored.State == StateRunning {
			t.evictReason = reason
			list = append(list, s.reconcile(now, t)...)
		}
	}
	return list
}

// Throttle limits a running task to a share of its processors. The limit is not
// recorded: a task that migrates to another worker runs unthrottled again.
func (s *Shard) Throttle(id oleandervalve.TaskID, share float64) ([]Action, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, &oleandervalve.NotFoundError{Kind: "task", Name: string(id), Remedy: "check the task's id"}
	}
	if t.stored.State != StateRunning {
		return nil, t.stored.stateError("throttled")
	}
	return []Action{Throttle{Worker: t.stored.Worker, Run: t.stored.Run(), Share: share}}, nil
}

// Counts returns the number of tasks in each state, taking cancelled jobs into
// account.
func (s *Shard) Counts() map[State]int {
	n := map[State]int{}
	for _, t := range s.tasks {
		n[ViewOf(t.stored.Record, s.ensureJob(t.stored.Job).stored.Header).State]++
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
		return nil, t.stored.stateError(StateQueued)
	}
	c, err := t.stored.Unpark(s.newID())
	if err != nil {
		return nil, err
	}
	return []Action{s.commit(t, c.Transaction, table.Configuring)}, nil
}

// Observe handles rows of jobs and tasks as read from the table; the jobs' rows
// must come first. Rows of other shards and rows older than the known ones are
// ignored. Rows that can't be decoded are skipped and returned as an error.
func (s *Shard) Observe(now time.Time, rows ...oleandervalve.Row) ([]Action, error) {
	var list []Action
	var combined error
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
		combined = errors.CombineErrors(combined, err)
	}
	// A job's cancellation also applies to tasks whose rows follow the job's row.
	for _, row := range rows {
		j := oleandervalve.JobID(strings.TrimPrefix(string(row.Key), "jobs/"))
		if state := s.jobs[j]; state != nil && state.stored.Cancelled {
			for _, id := range state.tasks {
				list = append(list, s.reconcile(now, s.tasks[id])...)
			}
		}
	}
	return list, combined
}

// observeJob records a newer row of a job. If the row shows that the job is
// cancelled, it requests the rows of the job's waiting tasks.
func (s *Shard) observeJob(row oleandervalve.Row) ([]Action, error) {
	j := oleandervalve.JobID(strings.TrimPrefix(string(row.Key), "jobs/"))
	if ShardOf(j) != s.id || row.Version <= s.ensureJob(j).stored.Version {
		return nil, nil
	}
	n, err := ParseJob(row)
	if err != nil {
		return nil, err
	}
	state := s.ensureJob(j)
	newlyCancelled := n.Cancelled && !state.stored.Cancelled
	state.stored = n
	if !newlyCancelled {
		return nil, nil
	}
	// Another owner may have committed an assignment between the last read of a
	// waiting task and the cancellation. Nothing is written for waiting tasks of a
	// cancelled job, so no conflict would ever reveal that assignment.
	var keys []oleandervalve.Key
	for _, id := range state.tasks {
		if t := s.tasks[id]; !t.stored.State.Placed() && !t.stored.State.Terminal() {
			keys = append(keys, TaskKey(j, id))
		}
	}
	if len(keys) == 0 {
		return nil, nil
	}
	return []Action{Read{Keys: keys}}, nil
}

// observeTask records a newer row of a task and returns the task's next actions.
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
		j := s.ensureJob(n.Job)
		j.tasks = append(j.tasks, id)
	}
	if n.State != t.stored.State || n.Epoch != t.stored.Epoch {
		t.sentAt, t.retryAt, t.evictReason, t.takeoverConditions, t.takeover = time.Time{}, time.Time{}, "", nil, false
	}
	t.stored = n
	if n.State.Waiting() && !t.queued {
		t.queued, s.sorted = true, false
		s.waiting = append(s.waiting, t)
	}
	return s.reconcile(now, t), nil
}

// ensureJob returns the state of a job and creates it if absent.
func (s *Shard) ensureJob(j oleandervalve.JobID) *jobState {
	if s.jobs[j] == nil {
		s.jobs[j] = &jobState{}
	}
	return s.jobs[j]
}

// HandleResult handles the result of a commit.
func (s *Shard) HandleResult(now time.Time, id oleandervalve.MutationID, r table.Result) ([]Action, error) {
	c, ok := s.commits[id]
	if !ok {
		return nil, nil
	}
	delete(s.commits, id)
	if c.task != nil {
		c.task.commit = ""
	}
	var list []Action
	var combined error
	if r.Resolution == table.Applied {
		rows := make([]oleandervalve.Row, len(c.transaction.Puts))
		for i, p := range c.transaction.Puts {
			rows[i] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: r.Versions[i], MutationID: id, WrittenAt: r.At}
		}
		list, combined = s.Observe(now, rows...)
	} else if t := c.task; t != nil {
		t.retryAt = now.Add(s.settings.RetryDelay)
		// A takeover that the table refused must be requested again with the
		// current row of the worker's lease.
		t.takeoverConditions, t.takeover = nil, false
	}
	more, err := s.Observe(now, r.Rows...)
	list = append(list, more...)
	if t := c.task; t != nil {
		list = append(list, s.reconcile(now, t)...)
	}
	return list, errors.CombineErrors(combined, err)
}

// Reserved handles an agent's answer to a Reserve.
func (s *Shard) Reserved(now time.Time, m Reserved) []Action {
	t := s.pendingReservations[m.ID]
	if t == nil || t.reservation.granted {
		if m.Granted && t == nil {
			return []Action{Release{Worker: m.Worker, Run: m.Run, ID: m.ID}}
		}
		return nil
	}
	if !m.Granted {
		s.dropReservation(now, t, m.Reason)
		return nil
	}
	j, ok := s.Job(t.stored.Job)
	if !ok || t.commit != "" {
		return s.releaseReservation(now, t, "")
	}
	c, err := t.stored.Assign(now, s.newID(), Grant{Worker: m.Worker, Incarnation: m.Incarnation, Reservation: m.ID}, j)
	if err != nil {
		return s.releaseReservation(now, t, "")
	}
	t.reservation.granted = true
	return []Action{s.commit(t, c.Transaction, table.Starting)}
}

// Reported handles an agent's report of a run.
func (s *Shard) Reported(now time.Time, m Report) []Action {
	if ShardOf(Parent(m.Run.Task)) != s.id {
		return nil
	}
	t := s.tasks[m.Run.Task]
	if t == nil || m.Run.Epoch > t.stored.Epoch {
		// Another owner has assigned the task since this Shard last read its row.
		return []Action{Read{Keys: []oleandervalve.Key{TaskKey(Parent(m.Run.Task), m.Run.Task)}}}
	}
	if !s.isCurrent(t, m) {
		return []Action{answerObsolete(m)}
	}
	if t.report == nil || t.report.Status == StatusRunning {
		t.report = &m
	}
	list := s.reconcile(now, t)
	if m.Status == StatusRunning && t.stored.State != StateAssigned {
		list = append(list, Acknowledge{Worker: m.Worker, Run: m.Run, Status: m.Status})
	}
	return list
}

// isCurrent reports whether a report is about the current run of the task.
func (s *Shard) isCurrent(t *taskState, m Report) bool {
	return t.stored.State.Placed() && m.Run == t.stored.Run() && m.Worker == t.stored.Worker
}

// answerObsolete answers a report of a run that is no longer current. The answer is
// final, because an epoch never becomes current again.
func answerObsolete(m Report) Action {
	if m.Status == StatusRunning {
		return Stop{Worker: m.Worker, Run: m.Run, Reason: ReasonObsolete}
	}
	return Acknowledge{Worker: m.Worker, Run: m.Run, Status: m.Status}
}

// WorkerTerminated takes over the tasks of a worker of which the platform has
// confirmed that it runs nothing and never will again.
func (s *Shard) WorkerTerminated(now time.Time, w oleandervalve.WorkerID) []Action {
	return s.takeOver(now, w, nil)
}

// WorkerExpired takes over the tasks of a worker whose lease appears to have expired.
// The condition from lease.TakeoverCondition lets the table decide whether it has.
func (s *Shard) WorkerExpired(now time.Time, w oleandervalve.WorkerID, c oleandervalve.Condition) []Action {
	return s.takeOver(now, w, []oleandervalve.Condition{c})
}

// takeOver starts the takeover of all placed tasks of a worker under the given conditions.
func (s *Shard) takeOver(now time.Time, w oleandervalve.WorkerID, c []oleandervalve.Condition) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w {
			t.takeover, t.takeoverConditions, t.retryAt = true, c, time.Time{}
			list = append(list, s.reconcile(now, t)...)
		}
	}
	return list
}

// WorkerConnected handles a new connection from an agent, which may have
// restarted: its earlier reports of running tasks are discarded and requested
// again.
func (s *Shard) WorkerConnected(now time.Time, w oleandervalve.WorkerID) []Action {
	var list []Action
	for _, t := range s.placed() {
		if t.stored.Worker == w {
			if t.report != nil && t.report.Status == StatusRunning {
				t.report = nil
			}
			t.sentAt = time.Time{}
			list = append(list, s.reconcile(now, t)...)
		}
	}
	return list
}

// Placed returns the placed tasks of worker w, or of all workers if w is empty,
// ordered by ID.
func (s *Shard) Placed(w oleandervalve.WorkerID) []Stored {
	var list []Stored
	for _, t := range s.placed() {
		if w == "" || t.stored.Worker == w {
			list = append(list, t.stored)
		}
	}
	return list
}

// placed returns the placed tasks of all workers, ordered by ID.
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
	s.lastID++
	return oleandervalve.MutationID(fmt.Sprintf("%s-%d-%d", s.prefix, s.id, s.lastID))
}

// commit records a transaction as in flight and returns its Commit. The task is nil
// if the transaction changes a job's row.
func (s *Shard) commit(t *taskState, tx oleandervalve.Transaction, p table.Priority) Action {
	s.commits[tx.ID] = commitState{task: t, transaction: tx}
	if t != nil {
		t.commit = tx.ID
	}
	return Commit{Transaction: tx, Priority: p}
}
