package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/quota"
	"oleandervalve/core/worker"
)

// waitingJob holds the tasks of one job that wait for placement.
type waitingJob struct {
	spec     *worker.Spec
	tasks    []worker.Task // in order of placement
	urgent   bool
	queuedAt time.Time
	// retryAt is the time before which the job is not tried again.
	retryAt  time.Time
	attempts int
	// earmarked is the worker whose free capacity is reserved for the job until earmarkedUntil.
	earmarked      *worker.Worker
	earmarkedUntil time.Time
	// pendingEvictions counts the evictions in flight that free capacity for the job.
	pendingEvictions int
	// blocked is the reason for the last failed attempt.
	blocked BlockedReason
	// infeasibleAt is the fleet's change count, plus one, at which no worker could
	// take the job; 0 means that the job is not known to be infeasible.
	infeasibleAt uint64
}

// eligible reports whether an attempt to place the job may be made now, given the
// fleet's change count.
func (j *waitingJob) eligible(now time.Time, changes uint64) bool {
	return len(j.tasks) > 0 && !now.Before(j.retryAt) && j.infeasibleAt != changes+1
}

// queue holds waiting jobs in order of arrival, urgent ones in one list and the
// others per team. fairOrder decides which team comes first.
type queue struct {
	urgent    []*waitingJob
	teams     map[oleandervalve.TeamID]*teamQueue
	teamsByID []*teamQueue // sorted by team ID
	byJob     map[queueKey]*waitingJob
	taskCount int
	// earmarks is the number of jobs with an earmarked worker.
	earmarks int
}

// queueKey distinguishes the urgent tasks of a job, such as migrated
// latency-critical tasks, from its other tasks.
type queueKey struct {
	job    oleandervalve.JobID
	urgent bool
}

// teamQueue holds the waiting jobs of one team, apart from urgent ones.
type teamQueue struct {
	id     oleandervalve.TeamID
	jobs   []*waitingJob
	cursor int // index of the next job to try in this step
	// share is the used share of the team's quota as of the last ordering.
	share float64
	// servedAt is the time of the team's last placement.
	servedAt time.Time
}

func newQueue() *queue {
	return &queue{teams: map[oleandervalve.TeamID]*teamQueue{}, byJob: map[queueKey]*waitingJob{}}
}

// team returns the queue of a team and creates it if absent.
func (q *queue) team(id oleandervalve.TeamID) *teamQueue {
	t := q.teams[id]
	if t == nil {
		t = &teamQueue{id: id}
		q.teams[id] = t
		i, _ := slices.BinarySearchFunc(q.teamsByID, id, func(t *teamQueue, id oleandervalve.TeamID) int {
			if t.id < id {
				return -1
			} else if t.id > id {
				return 1
			}
			return 0
		})
		q.teamsByID = slices.Insert(q.teamsByID, i, t)
	}
	return t
}

// add queues a task. If first is set, as for a task that returns to the queue, it
// comes before the other tasks of its job.
func (q *queue) add(t worker.Task, urgent, first bool, now time.Time) *waitingJob {
	k := queueKey{t.Job, urgent}
	j := q.byJob[k]
	if j == nil {
		j = &waitingJob{spec: t.Spec, urgent: urgent, queuedAt: now}
		q.byJob[k] = j
		if urgent {
			q.urgent = append(q.urgent, j)
		} else {
			tq := q.team(t.Team)
			tq.jobs = append(tq.jobs, j)
		}
	}
	if first {
		j.tasks = slices.Insert(j.tasks, 0, t)
	} else {
		j.tasks = append(j.tasks, t)
	}
	q.taskCount++
	return j
}

// pop removes the next task of a job.
func (q *queue) pop(j *waitingJob) {
	j.tasks = j.tasks[1:]
	q.taskCount--
	if len(j.tasks) == 0 {
		q.removeJob(j)
	}
}

// dropEarmark releases the worker that is earmarked for a job.
func (q *queue) dropEarmark(j *waitingJob) {
	if j.earmarked != nil {
		j.earmarked.EarmarkedFor = ""
		j.earmarked = nil
		q.earmarks--
	}
}

// removeJob removes a job and all its waiting tasks.
func (q *queue) removeJob(j *waitingJob) {
	q.dropEarmark(j)
	q.taskCount -= len(j.tasks)
	j.tasks = nil
	delete(q.byJob, queueKey{j.spec.Job, j.urgent})
	if j.urgent {
		if i := slices.Index(q.urgent, j); i >= 0 {
			q.urgent = slices.Delete(q.urgent, i, i+1)
		}
		return
	}
	t := q.team(j.spec.Team)
	if i := slices.Index(t.jobs, j); i >= 0 {
		t.jobs = slices.Delete(t.jobs, i, i+1)
		if t.cursor > i {
			t.cursor--
		}
	}
}

// forEachJob calls visit for every waiting job, in a fixed order, until visit
// returns false.
func (q *queue) forEachJob(visit func(j *waitingJob) bool) {
	for _, j := range q.urgent {
		if !visit(j) {
			return
		}
	}
	for _, t := range q.teamsByID {
		for _, j := range t.jobs {
			if !visit(j) {
				return
			}
		}
	}
}

// fairOrder yields the waiting jobs of the backlog during one step: always the
// oldest eligible job of the team with the smallest share. It is a heap of teams.
type fairOrder struct {
	teams   []*teamQueue
	ledger  *quota.Ledger
	now     time.Time
	changes uint64
}

// fairOrder returns the fair order of the waiting jobs for one step.
func (q *queue) fairOrder(l *quota.Ledger, now time.Time, changes uint64) *fairOrder {
	f := &fairOrder{ledger: l, now: now, changes: changes}
	for _, t := range q.teamsByID {
		t.cursor = 0
		if f.advance(t) {
			t.share = l.Share(t.id)
			f.teams = append(f.teams, t)
		}
	}
	heap.Init(f)
	return f
}

// advance moves a team's cursor to its next eligible job; false if there is none.
func (f *fairOrder) advance(t *teamQueue) bool {
	for t.cursor < len(t.jobs) && !t.jobs[t.cursor].eligible(f.now, f.changes) {
		t.cursor++
	}
	return t.cursor < len(t.jobs)
}

// peek returns the next job, or nil if no job is eligible.
func (f *fairOrder) peek() *waitingJob {
	for len(f.teams) > 0 {
		if t := f.teams[0]; f.advance(t) {
			return t.jobs[t.cursor]
		}
		heap.Pop(f)
	}
	return nil
}

// reorder restores the order of the teams after the share of the first one changed.
func (f *fairOrder) reorder() {
	if len(f.teams) > 0 {
		f.teams[0].share = f.ledger.Share(f.teams[0].id)
		heap.Fix(f, 0)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (f *fairOrder) Len() int { return len(f.teams) }

func (f *fairOrder) Less(i, j int) bool {
	a, b := f.teams[i], f.teams[j]
	return a.share < b.share || a.share == b.share && a.id < b.id
}

func (f *fairOrder) Swap(i, j int) { f.teams[i], f.teams[j] = f.teams[j], f.teams[i] }

func (f *fairOrder) Push(x any) { f.teams = append(f.teams, x.(*teamQueue)) }

func (f *fairOrder) Pop() any {
	t := f.teams[len(f.teams)-1]
	f.teams = f.teams[:len(f.teams)-1]
	return t
}
