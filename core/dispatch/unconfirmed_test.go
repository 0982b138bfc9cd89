package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// restartExecutor returns the status of the next incarnation of an agent's executor.
func restartExecutor(a *agent) oleandervalve.ExecutorStatus {
	s := a.status
	s.Incarnation.StartedAt++
	return s
}

func listing(k runKey) oleandervalve.PollResult {
	return oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: k.task, Run: k.run}}}
}

// Guards against a next leader that counts the shorter lease for a long-running start that it didn't order itself.
func TestLongRunningStartOfThePreviousLeaderIsKeptLonger(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(true)
	c.now = c.now.Add(100 * time.Millisecond)
	c.dispatcher.LeaseGranted(c.now, a.id) // the agent may send the start now
	stored := c.dispatcher.Confirmations(c.now)
	acquiredAt := c.now.Add(time.Second)
	c.now = acquiredAt.Add(50 * time.Millisecond) // loading takes a while
	c.startLeader()
	c.dispatcher.options.UnconfirmedAfter = testUnconfirmedAfter
	c.dispatcher.RestoreSilences(acquiredAt, 0, 0, nil)
	c.dispatcher.RestoreConfirmations(stored)
	got := c.startsElsewhere(c.dispatcher.agents[a.id], k)
	t.Logf("given up after %s", got)
	is.True(got >= testUnconfirmedAfter-100*time.Millisecond)
}

// Guards against a task that starts elsewhere while the next incarnation has listed its run, which is still being stopped.
func TestListedRunOfTheNextIncarnationIsKeptUntilItsEnd(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(false)
	late := []UnansweredStart{{k.task, k.run, 1500 * time.Millisecond}}
	c.dispatcher.StartsUnanswered(c.now, a.id, late, 0)
	c.dispatcher.AgentConnected(c.now, a.id, restartExecutor(a), listing(k))
	is.True(a.runs[k].stopping)
	got := c.startsElsewhere(a, k)
	t.Logf("given up after %s", got)
	is.Equal(got, time.Minute)
}

// Guards against a task that never starts elsewhere after its executor has ended, because its run was listed
// before an attempt at its start had an answer.
func TestListedRunOfLostExecutorIsReleased(t *testing.T) {
	const rest = 5 * time.Second
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(true)
	c.dispatcher.AgentConnected(c.now, a.id, a.status, listing(k))
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, rest}}, 0)
	c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
	got := c.startsElsewhere(a, k)
	t.Logf("given up after %s", got)
	is.True(got >= rest && got <= rest+200*time.Millisecond)
}

// Guards against a run that counts as confirmed while an attempt at its start may reach the next incarnation.
func TestListedRunIsNotConfirmedWhileAnAttemptIsOnItsWay(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(false)
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, 1500 * time.Millisecond}}, 0)
	c.dispatcher.AgentConnected(c.now, a.id, a.status, listing(k))
	c.dispatcher.AgentDisconnected(c.now, a.id)
	got := c.startsElsewhere(a, k)
	t.Logf("given up after %s", got)
	is.True(got > testUnconfirmedAfter-200*time.Millisecond)
}

// Guards against runs that count as never started before the executor has listed all ends, or while an
// attempt at their start may reach the next incarnation.
func TestUnlistedRunAwaitsTheRestOfTheListAndItsAttempts(t *testing.T) {
	const rest = 1500 * time.Millisecond
	setUp := func(t *testing.T) (*cluster, *agent, runKey) {
		c := confirmCluster(t, 2)
		a, k := c.startTasks(false)
		c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, rest}}, 0)
		c.dispatcher.AgentConnected(c.now, a.id, a.status, oleandervalve.PollResult{Incomplete: true})
		return c, a, k
	}
	t.Run("list is incomplete", func(t *testing.T) {
		is := is.New(t)
		c, a, k := setUp(t)
		is.Equal(c.startsElsewhere(a, k), time.Minute)
	})
	t.Run("list is complete", func(t *testing.T) {
		is := is.New(t)
		c, a, k := setUp(t)
		c.dispatcher.InventoryCompleted(c.now, a.id, a.status.Incarnation)
		got := c.startsElsewhere(a, k)
		t.Logf("given up after %s", got)
		is.True(got >= rest && got <= rest+200*time.Millisecond)
	})
}

// Guards against a start that counts as confirmed because its record has a sequence number of one that was deleted.
func TestSequenceNumbersOfDeletedRecordsAreNotUsedAgain(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 1)
	previous := Confirmations{Through: 100}
	c.startLeader() // the record with number 100 has been deleted
	c.dispatcher.RestoreConfirmations(previous)
	c.connect(c.agents[c.order[0]])
	_, k := c.startTasks(false)
	c.startLeader() // before the row was renewed
	c.dispatcher.RestoreConfirmations(previous)
	is.True(!c.dispatcher.agents[c.order[0]].runs[k].confirmed)
}

// Guards against unconfirmed starts that count as confirmed beside many runs that are not wanted.
func TestUnwantedRunsDoNotHideUnconfirmedStarts(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(false)
	id := c.order[1]
	b := c.dispatcher.agents[id]
	list := oleandervalve.PollResult{}
	for n := range oleandervalve.RunNumber(maxNamed + 1) {
		list.Running = append(list.Running, oleandervalve.RunningTask{Task: k.task, Run: 100 + n})
	}
	c.dispatcher.AgentConnected(c.now, id, b.status, list)
	c.now = c.now.Add(2 * namedAfter)
	stored := c.dispatcher.Confirmations(c.now)
	c.startLeader()
	c.dispatcher.RestoreConfirmations(stored)
	is.True(!c.dispatcher.agents[a.id].runs[k].confirmed)
}

// Guards against a confirmed run that the second of two leaders takes for one that isn't, beside another's start.
func TestConfirmedRunStaysConfirmedOverTwoChangesOfLeader(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 1)
	id := c.order[0]
	for _, j := range []oleandervalve.JobID{"first", "second"} {
		c.submit(j, work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}, Estimate: time.Minute}}})
		c.advanceCommit(true)
		c.advanceCommit(true)
	}
	second := runKey{oleandervalve.TaskName{Job: "second"}, 1}
	c.dispatcher.RunsStarted(c.now, id, []StartedRun{{second.task, second.run}})
	c.now = c.now.Add(2 * namedAfter)
	stored := c.dispatcher.Confirmations(c.now)
	for range 2 {
		c.startLeader()
		c.dispatcher.RestoreConfirmations(stored)
		is.True(c.dispatcher.agents[id].runs[second].confirmed)
		is.True(!c.dispatcher.agents[id].runs[runKey{oleandervalve.TaskName{Job: "first"}, 1}].confirmed)
		stored = c.dispatcher.Confirmations(c.now)
	}
}

// Guards against jobs that count as begun while their only start, which may never take effect, had no answer.
func TestJobWhoseOnlyStartHadNoAnswerIsNotCountedAsBegun(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 1)
	a, k := c.startTasks(false)
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, 10 * time.Second}}, 0)
	c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
	c.now = c.now.Add(3 * time.Second)
	c.dispatcher.Tick(c.now)
	n := c.waiting("q")
	t.Logf("waiting: %d", n)
	is.True(n == 1 || n == unknownCount)
}

// Guards against members of a gang that go on alone for the longest lease after one of them was lost.
func TestGangIsStoppedAtOnceWhenAMemberIsLost(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	c.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 2, Gang: true, Demand: oleandervalve.Resources{CPU: 9000}, Estimate: time.Minute}}})
	c.advanceCommit(true)
	c.advanceCommit(true)
	a, b := c.dispatcher.agents[c.order[0]], c.dispatcher.agents[c.order[1]]
	k, other := a.sortedRuns()[0], b.sortedRuns()[0]
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, 10 * time.Second}}, 0)
	c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
	is.True(b.runs[other].stopping)
}

// BenchmarkReleaseEndedRuns measures what a tick does for 9600 runs of connected agents.
func BenchmarkReleaseEndedRuns(b *testing.B) {
	now := time.Unix(1000, 0)
	d := New(Options{TakeoverAfter: time.Hour, UnconfirmedAfter: time.Hour, Retention: time.Hour})
	for i := range 300 {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i))
		s := oleandervalve.ExecutorStatus{Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), StartedAt: 1}, Service: "press", State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 << 30}}
		d.AgentConnected(now, id, s, oleandervalve.PollResult{})
		for n := range 32 {
			d.agents[id].allocate(runKey{oleandervalve.TaskName{Job: "5c0e7a21d94b36f8", Index: 32*i + n}, 1}, &run{startSent: true, confirmed: true})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, a := range d.sortedAgents {
			d.releaseEndedRuns(now, a)
		}
	}
}

// Guards against a run of an ended executor that is confirmed too late, which is then kept as long as its agent is connected.
func TestRunOfEndedExecutorIsNotConfirmed(t *testing.T) {
	const rest = 5 * time.Second
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(true)
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, rest}}, 0)
	c.dispatcher.ExecutorTerminated(c.now, a.id, a.status.Incarnation, true)
	c.dispatcher.RunsStarted(c.now, a.id, []StartedRun{{k.task, k.run}})
	got := c.startsElsewhere(a, k)
	t.Logf("given up after %s", got)
	is.True(got >= rest && got <= rest+200*time.Millisecond)
}

// Guards against a start that counts as ended while an incarnation that nobody has met may run it, because its executor was
// draining when its agent was lost.
func TestUnansweredStartOfDrainingExecutorIsKeptLonger(t *testing.T) {
	is := is.New(t)
	c := confirmCluster(t, 2)
	a, k := c.startTasks(false)
	s := restartExecutor(a)
	s.State = oleandervalve.ExecutorDraining
	c.dispatcher.StartsUnanswered(c.now, a.id, []UnansweredStart{{k.task, k.run, 1500 * time.Millisecond}}, 0)
	c.dispatcher.AgentConnected(c.now, a.id, s, oleandervalve.PollResult{})
	c.dispatcher.AgentDisconnected(c.now, a.id)
	got := c.startsElsewhere(a, k)
	t.Logf("given up after %s", got)
	is.True(got > testUnconfirmedAfter-200*time.Millisecond)
}
