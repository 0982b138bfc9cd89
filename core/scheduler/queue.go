package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/quota"
	"oleandervalve/core/worker"
)

// waiting is the waiting part of one job.
type waiting struct {
	spec   *worker.Spec
	tasks  []worker.Task // the next one first
	urgent bool
	since  time.Time
	// retryAt is the time before which the job is not tried again.
	retryAt time.Time
	tries   int
	// held is the worker whose free capacity is kept for the job until heldUntil.
	held      *worker.Worker
	heldUntil time.Time
	// making counts the evictions under way that make room for the job.
	making int
	// blocked is the reason for the last failed attempt.
	blocked Blocked
	// infeasibleAt is the fleet's change count at which no worker could take
	// the job, plus one; 0 means that it is not known to be infeasible.
	infeasibleAt uint64
}

func (j *waiting) eligible(now time.Time, changes uint64) bool {
	return len(j.tasks) > 0 && !now.Before(j.retryAt) && j.infeasibleAt != changes+1
}

// queue holds waiting jobs: urgent ones in order of arrival, the others per
// team in order of arrival, with the teams ordered by their share.
type queue struct {
	urgent []*waiting
	teams  map[oleandervalve.TeamID]*teamQueue
	order  []*teamQueue // by team id
	byJob  map[queueKey]*waiting
	length int
	holds  int
}

// queueKey tells the urgent tasks of a job, such as moved services, from the rest.
type queueKey struct {
	job    oleandervalve.JobID
	urgent bool
}

type teamQueue struct {
	id    oleandervalve.TeamID
	jobs  []*waiting
	next  int // the next job to try in this step
	share float64
	// servedAt is the time of the team's last placement.
	servedAt time.Time
}

func newQueue() *queue {
	return &queue{teams: map[oleandervalve.TeamID]*teamQueue{}, byJob: map[queueKey]*waiting{}}
}

func (q *queue) team(id oleandervalve.TeamID) *teamQueue {
	t := q.teams[id]
	if t == nil {
		t = &teamQueue{id: id}
		q.teams[id] = t
		i, _ := slices.BinarySearchFunc(q.order, id, func(t *teamQueue, id oleandervalve.TeamID) int {
			if t.id < id {
				return -1
			} else if t.id > id {
				return 1
			}
			return 0
		})
		q.order = slices.Insert(q.order, i, t)
	}
	return t
}

// add queues a task; a returning task comes before the tasks of its job that never ran.
func (q *queue) add(t worker.Task, urgent, first bool, now time.Time) *waiting {
	k := queueKey{t.Job, urgent}
	j := q.byJob[k]
	if j == nil {
		j = &waiting{spec: t.Spec, urgent: urgent, since: now}
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
	q.length++
	return j
}

// pop removes the next task of a job.
func (q *queue) pop(j *waiting) {
	j.tasks = j.tasks[1:]
	q.length--
	if len(j.tasks) == 0 {
		q.drop(j)
	}
}

// unhold gives up the worker that is held for a job.
func (q *queue) unhold(j *waiting) {
	if j.held != nil {
		j.held.HeldFor = ""
		j.held = nil
		q.holds--
	}
}

// drop removes a job and all its waiting tasks.
func (q *queue) drop(j *waiting) {
	q.unhold(j)
	q.length -= len(j.tasks)
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
		if t.next > i {
			t.next--
		}
	}
}

// jobs calls visit for every waiting job in a fixed order until it returns false.
func (q *queue) jobs(visit func(j *waiting) bool) {
	for _, j := range q.urgent {
		if !visit(j) {
			return
		}
	}
	for _, t := range q.order {
		for _, j := range t.jobs {
			if !visit(j) {
				return
			}
		}
	}
}

// fair yields the waiting jobs of the backlog in fair order during one step:
// always the team with the smallest share, and its oldest eligible job.
type fair struct {
	teams   []*teamQueue
	ledger  *quota.Ledger
	now     time.Time
	changes uint64
}

func (q *queue) fair(l *quota.Ledger, now time.Time, changes uint64) *fair {
	f := &fair{ledger: l, now: now, changes: changes}
	for _, t := range q.order {
		t.next = 0
		if f.skip(t) {
			t.share = l.Share(t.id)
			f.teams = append(f.teams, t)
		}
	}
	heap.Init(f)
	return f
}

// skip moves on to the next eligible job of a team; false if there is none.
func (f *fair) skip(t *teamQueue) bool {
	for t.next < len(t.jobs) && !t.jobs[t.next].eligible(f.now, f.changes) {
		t.next++
	}
	return t.next < len(t.jobs)
}

// head returns the next job, or nil if no job is eligible.
func (f *fair) head() *waiting {
	for len(f.teams) > 0 {
		if t := f.teams[0]; f.skip(t) {
			return t.jobs[t.next]
		}
		heap.Pop(f)
	}
	return nil
}

// settled brings the order up to date after the head's share changed.
func (f *fair) settled() {
	if len(f.teams) > 0 {
		f.teams[0].share = f.ledger.Share(f.teams[0].id)
		heap.Fix(f, 0)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (f *fair) Len() int { return len(f.teams) }

func (f *fair) Less(i, j int) bool {
	a, b := f.teams[i], f.teams[j]
	return a.share < b.share || a.share == b.share && a.id < b.id
}

func (f *fair) Swap(i, j int) { f.teams[i], f.teams[j] = f.teams[j], f.teams[i] }

func (f *fair) Push(x any) { f.teams = append(f.teams, x.(*teamQueue)) }

func (f *fair) Pop() any {
	t := f.teams[len(f.teams)-1]
	f.teams = f.teams[:len(f.teams)-1]
	return t
}
