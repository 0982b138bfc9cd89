package demo

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/standin"
	"oleandervalve/io/taskowner"
)

// taskSystem is a system with two entries that own tasks and a few workers, each
// with capacity for two small tasks or one large task.
type taskSystem struct {
	*System
	is  *is.I
	ctx context.Context
}

func newTaskSystem(t *testing.T, workers int) *taskSystem {
	l := logrus.New()
	l.SetOutput(io.Discard)
	d := deployments()[0]
	d.executors, d.worker = workers, oleandervalve.Resources{CPU: 2000, Memory: gib}
	s, err := Start(2, 1, PolicyFair, logrus.NewEntry(l), func(s *System) { s.deployments = []deployment{d} })
	x := &taskSystem{System: s, is: is.New(t)}
	x.is.NoErr(err)
	// The timeout only stops a test that hangs.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	x.ctx = ctx
	t.Cleanup(func() { cancel(); s.Close() })
	return x
}

func (s *taskSystem) submit(name string, tasks int, runTime time.Duration, change func(*taskowner.JobSpec)) oleandervalve.JobID {
	j := s.deployments[0].job(name, "nesting", tasks, runTime)
	if change != nil {
		change(&j)
	}
	s.is.NoErr(s.entries[0].owner.Submit(s.ctx, j))
	return j.Job
}

// wait returns the tasks of a job once all of them meet a condition. It reads
// through the entry that did not accept the job.
func (s *taskSystem) wait(j oleandervalve.JobID, ready func(taskowner.TaskStatus) bool) []taskowner.TaskStatus {
	for {
		s.is.NoErr(s.ctx.Err()) // a task did not reach the expected state
		status, err := s.entries[1].owner.Status(s.ctx, j, "")
		all := err == nil && len(status.Tasks) > 0
		for _, t := range status.Tasks {
			all = all && ready(t)
		}
		if all {
			return status.Tasks
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func hasState(want job.State) func(taskowner.TaskStatus) bool {
	return func(t taskowner.TaskStatus) bool { return t.State == want }
}

// Guards against accepted tasks that never run or run more than once.
func TestTaskRunsOnce(t *testing.T) {
	s := newTaskSystem(t, 1)
	s.wait(s.submit("once", 3, 100*time.Millisecond, nil), hasState(job.StateFinished))
	c := s.Platform.Counts()
	s.is.Equal(c.Started, 3)
	s.is.Equal(c.Finished, 3)
}

// Guards against a cancelled task that is reported as "not run" although it ran, or
// the reverse, and against one that keeps running.
func TestCancelledTaskTellsWhetherItRan(t *testing.T) {
	for name, c := range map[string]struct {
		where  string
		before job.State
		notRun bool
	}{
		"before its start": {"site=nowhere", job.StateQueued, true},
		"while it runs":    {"site=kardos", job.StateRunning, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTaskSystem(t, 1)
			j := s.submit("cancelled", 1, 0, func(j *taskowner.JobSpec) { j.Where = c.where })
			s.wait(j, hasState(c.before))
			s.is.NoErr(s.entries[1].owner.Cancel(s.ctx, j, "kardos"))
			got := s.wait(j, hasState(job.StateCancelled))
			s.is.Equal(got[0].NotRun, c.notRun)
			n := s.Platform.Counts()
			s.is.Equal(n.Started == 0, c.notRun)
			s.is.Equal(n.Stopped, n.Started) // the task keeps running after it is cancelled
		})
	}
}

// Guards against an evicted task that is lost, restarts without its checkpoint,
// or resumes twice.
func TestEvictedTaskResumesOnce(t *testing.T) {
	s := newTaskSystem(t, 1)
	whole := func(j *taskowner.JobSpec) { j.Size.CPU = 2000 }
	for _, e := range s.entries {
		e.owner.SetQuotas(map[oleandervalve.TeamID]oleandervalve.Resources{"dispatch": {CPU: 2000, Memory: gib}})
	}
	batch := s.submit("evicted", 1, 4*time.Second, whole)
	first := s.wait(batch, hasState(job.StateRunning))[0]
	// The entry that places the urgent task owns the batch task as well.
	name := "urgent"
	for job.ShardOf(oleandervalve.JobID("kardos-"+name)) != job.ShardOf(batch) {
		name += "x"
	}
	urgent := s.submit(name, 1, 100*time.Millisecond, func(j *taskowner.JobSpec) {
		whole(j)
		j.Team, j.Urgent = "dispatch", true
	})
	s.wait(urgent, hasState(job.StateFinished))
	got := s.wait(batch, hasState(job.StateFinished))[0]
	s.is.Equal(got.Evictions, 1)
	s.is.True(len(s.Objects.Load(job.Run{Task: first.Task, Epoch: first.Epoch}.CheckpointName())) > 0)
	c := s.Platform.Counts()
	s.is.Equal(c.Started, 3) // the batch task twice, the urgent task once
	s.is.Equal(c.DoubleResume, 0)
	s.is.Equal(c.DoubleRuns, 0)
}

// Guards against tasks that are lost, started twice or reported incorrectly when
// the table's responses are lost after a commit, or when two entries both consider
// themselves the owner of the same shards.
func TestTasksRunOnceWithoutCertainOwner(t *testing.T) {
	for name, injectFault := range map[string]func(*taskSystem){
		"responses lost after commit": func(s *taskSystem) {
			s.Table.Faults.Set(standin.Fault{Operation: "commit", DropResponse: true, Share: 0.4})
			time.Sleep(2 * time.Second)
			s.Table.Faults.Set()
		},
		"two owners": func(s *taskSystem) {
			// After their rows are deleted, shards look unowned to the other entry
			// while their owner still holds them.
			for range 4 {
				p, err := s.table.Scan(s.ctx, lease.ShardPrefix(lease.TaskShards), "", 0)
				s.is.NoErr(err)
				x := oleandervalve.Transaction{ID: oleandervalve.MutationID(fmt.Sprint("taken-", time.Now().UnixNano()))}
				for _, r := range p.Rows {
					x.Deletes = append(x.Deletes, r.Key)
				}
				_, err = s.table.Commit(s.ctx, x)
				s.is.NoErr(err)
				time.Sleep(700 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTaskSystem(t, 3)
			var jobs []oleandervalve.JobID
			for i := range 6 {
				jobs = append(jobs, s.submit(fmt.Sprintf("uncertain-%d", i), 4, 300*time.Millisecond, nil))
			}
			injectFault(s)
			for _, j := range jobs {
				s.wait(j, hasState(job.StateFinished))
			}
			c := s.Platform.Counts()
			s.is.Equal(c.DoubleRuns, 0)
			s.is.Equal(c.OverCapacity, 0)
			s.is.Equal(c.Finished, 24) // some tasks finished twice or never
		})
	}
}
