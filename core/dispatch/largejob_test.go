package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/crash"
	"oleandervalve/core/work"
)

// Guards against a record that is larger than a row of the table accepts, after which nothing is
// committed any more, because executors crash under many tasks of a large job.
func TestRecordOfLargeJobFitsARow(t *testing.T) {
	for _, checkpoint := range []string{"", "00000bb87a21d94b", strings.Repeat("c", 100)} {
		for crashes := range 5 {
			t.Run(fmt.Sprintf("%d crashes, checkpoints of %d bytes", crashes, len(checkpoint)), func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 1, 2)
				for _, id := range c.order {
					a := c.agents[id]
					a.status.Capacity = oleandervalve.Resources{CPU: 1e9, Memory: 1 << 50}
					c.connect(a)
				}
				c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: work.MaxTasks, Checkpointing: true, Demand: oleandervalve.Resources{CPU: 1}}}})
				commit := func() {
					b := c.dispatcher.Batch()
					if b == nil {
						return
					}
					for _, p := range b.Transaction.Puts {
						is.True(len(p.Value) <= int(defaultMaxRow))
					}
					c.store(b)
					c.dispatcher.CommitApplied(c.now, b, c.lastVersion)
					c.dispatcher.TakeActions()
				}
				c.dispatcher.Schedule(c.now)
				commit()
				for n := range crashes {
					j := c.dispatcher.jobs["j"]
					for _, id := range c.order {
						a := c.agents[id]
						var lost []crash.Run
						var checkpoints []RunCheckpoint
						for i, task := range j.rec.Tasks {
							if task.State == work.TaskAssigned && j.rec.Executors[task.ExecutorIndex].Agent == id {
								name := oleandervalve.TaskName{Job: "j", Index: i}
								lost = append(lost, crash.Run{Task: name, Run: task.Run, Started: true, MaxAge: 4 * time.Second})
								checkpoints = append(checkpoints, RunCheckpoint{Task: name, Run: task.Run, Checkpoint: checkpoint})
							}
						}
						c.dispatcher.RunsCheckpointed(c.now, id, checkpoints)
						c.dispatcher.ExecutorLost(c.now, id, crash.Report{Executor: a.status.Incarnation, Crashed: n%2 == 0, Runs: lost})
						c.dispatcher.ExecutorTerminated(c.now, id, a.status.Incarnation, true)
						a.status.Incarnation.StartedAt++
						c.connect(a)
					}
					commit()
					c.now = c.now.Add(3 * time.Second)
					c.dispatcher.Schedule(c.now)
					commit()
				}
				state, _ := c.dispatcher.State("j")
				is.True(!state.Terminal() || crashes > 2)
				c.startLeader()
				is.Equal(len(c.dispatcher.jobs["j"].rec.Tasks), work.MaxTasks)
			})
		}
	}
}

// Guards against jobs that can't be committed because the row of another one is refused.
func TestRejectedRowHoldsUpOnlyItsJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	queue := work.Queue{Name: "q", Service: "press"}
	spec := work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}}
	// The table refuses each transaction with the job "large" from the second one on.
	refusing := false
	commit := func() {
		b := c.dispatcher.Batch()
		if b == nil {
			return
		}
		for _, p := range b.Transaction.Puts {
			if p.Key == work.RecordKey("large") && refusing || p.Key == work.RecordKey("new") {
				c.dispatcher.CommitRejected(c.now, b)
				c.collect()
				return
			}
		}
		c.store(b)
		c.dispatcher.CommitApplied(c.now, b, c.lastVersion)
		c.collect()
	}
	c.submit("large", queue, spec)
	commit()
	refusing = true
	for _, id := range []oleandervalve.JobID{"a", "new", "b"} {
		c.submit(id, queue, spec)
	}
	c.cancel("large")
	for range 12 {
		commit()
		for len(c.outbox) > 0 {
			c.deliverNextOrder()
		}
		c.advance(300 * time.Millisecond)
	}
	for _, id := range []oleandervalve.JobID{"a", "b"} {
		state, _ := c.dispatcher.State(id)
		is.Equal(state, work.Completed)
	}
	for token, id := range c.tokens {
		if id == "new" {
			is.Equal(c.replies[token].Verdict, NotRun)
		}
	}
	is.True(!c.dispatcher.HasJob("new"))
	// The job is committed once the table accepts its row.
	refusing = false
	for range 30 {
		commit()
		c.advance(300 * time.Millisecond)
	}
	state, _ := c.dispatcher.State("large")
	is.Equal(state, work.Cancelled)
}
