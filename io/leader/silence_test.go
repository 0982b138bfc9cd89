package leader

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// sleeplessClock is a fake clock that advances instead of sleeping.
type sleeplessClock struct{ *clockwork.FakeClock }

func (c sleeplessClock) Sleep(d time.Duration) { c.Advance(d) }

// terms plays one leader after the other on a fake clock.
type terms struct {
	t      *testing.T
	clock  sleeplessClock
	table  *fakeTable
	leader *Leader
	// maxLease is the longest lease that executors grant.
	maxLease time.Duration
}

func newTerms(t *testing.T) *terms {
	s := &terms{t: t, clock: sleeplessClock{clockwork.NewFakeClock()}, table: newFakeTable()}
	s.table.clock = s.clock
	s.next()
	return s
}

// next replaces the leader.
func (s *terms) next() {
	s.t.Helper()
	options := testOptions(s.table)
	options.Clock, options.MaxLease, options.CancelDelay = s.clock, s.maxLease, 3*time.Second
	row := s.table.rows[Key]
	row.Key = Key
	l, err := Acquire(context.Background(), options, row, Row{Entry: "e-1", Process: "p"})
	if err == nil {
		err = l.load(context.Background())
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.leader = l
}

// connect connects an agent whose executor has the given runs.
func (s *terms) connect(id oleandervalve.AgentID, running ...oleandervalve.RunningTask) {
	s.connectTo(s.leader, id, running...)
}

func (s *terms) connectTo(l *Leader, id oleandervalve.AgentID, running ...oleandervalve.RunningTask) {
	l.withDispatcher(func(_ *dispatch.Dispatcher, now time.Time) {
		l.agentConnected(now, id, &peer.ExecutorInventory{
			Status: oleandervalve.ExecutorStatus{
				Service: "s", Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("i-" + id), StartedAt: 1},
				State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 1 << 30},
			},
			Running: running,
		})
	})
}

func (s *terms) disconnect(id oleandervalve.AgentID) {
	s.leader.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.AgentDisconnected(now, id) })
}

// ping lets agent "lost" send a ping that confirms starts, and commits what that changes.
func (s *terms) ping(started ...dispatch.StartedRun) {
	s.leader.withDispatcher(func(_ *dispatch.Dispatcher, now time.Time) {
		s.leader.applyPing(now, "lost", &peer.Ping{Started: started, ConfirmsStarts: true})
	})
	if len(s.leader.commitRequests) > 0 {
		<-s.leader.commitRequests
		if err := s.leader.commit(context.Background(), &dispatch.Batch{}); err != nil {
			s.t.Fatal(err)
		}
	}
}

// advance lets time pass, and commits what has changed.
func (s *terms) advance(d time.Duration) {
	s.t.Helper()
	for ; d > 0; d -= tickInterval {
		s.clock.Advance(tickInterval)
		s.leader.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.Tick(now) })
		b := s.leader.dispatcher.Batch()
		if b == nil {
			b = &dispatch.Batch{}
		}
		if err := s.leader.commit(context.Background(), b); err != nil {
			s.t.Fatal(err)
		}
	}
}

// submit submits job "a" with one long-running task.
func (s *terms) submit() {
	s.leader.Call(peer.JobCall{
		ID: 1, Kind: peer.CallSubmit, Job: "a", Queue: work.Queue{Name: "q", Service: "s"},
		Spec: work.Spec{Steps: []work.Step{{Count: 1, LongRunning: true, Demand: oleandervalve.Resources{CPU: 1000}}}},
	}, func(peer.JobReply) {})
}

// assignedTo returns the agent to which the task of job "a" is assigned, or "".
func (s *terms) assignedTo() oleandervalve.AgentID {
	s.t.Helper()
	var rec work.Record
	if err := work.Decode(s.table.rows[work.RecordKey("a")], &rec); err != nil {
		s.t.Fatal(err)
	}
	if rec.Tasks[0].State != work.TaskAssigned {
		return ""
	}
	return rec.Executors[rec.Tasks[0].ExecutorIndex].Agent
}

// Guards against tasks of a lost agent that are not started elsewhere while leaders replace one
// another, because each of them waits anew for the agent.
func TestTasksOfLostAgentStartDespiteChangesOfLeader(t *testing.T) {
	is := is.New(t)
	s := newTerms(t)
	s.connect("lost")
	s.submit()
	s.advance(time.Second)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("lost"))
	s.disconnect("lost")
	lostAt := s.clock.Now()
	for s.assignedTo() != "other" {
		if s.clock.Since(lostAt) > 5*ProofLifetime {
			t.Fatalf("the task is still assigned to the lost agent after %s", s.clock.Since(lostAt))
		}
		s.advance(4 * time.Second)
		s.next()
		s.connect("other")
		s.advance(tickInterval)
	}
	is.True(s.clock.Since(lostAt) >= ProofLifetime) // the executor's lease may have lasted so long
	is.True(s.clock.Since(lostAt) <= 2*ProofLifetime)
}

// proofAge lets agent "side" ask a leader for a proof of leadership and returns its age.
func proofAge(l *Leader) time.Duration {
	age := l.proofAge("side")
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.LeaseGranted(now, "side") })
	return age
}

// Guards against an agent that gets no new proof of leadership although the leader's row does not
// name it any more, and against one that gets it before.
func TestAgentIsNoLongerSilentOnceTheRowIsStored(t *testing.T) {
	is := is.New(t)
	s := newTerms(t)
	s.connect("side")
	s.submit()
	s.advance(time.Second)
	s.disconnect("side")
	s.advance(3 * time.Second)
	s.next()
	s.connect("side", oleandervalve.RunningTask{Task: oleandervalve.TaskName{Job: "a"}, Run: 1})
	is.True(proofAge(s.leader) >= 2*time.Second)
	s.table.commitError = &oleandervalve.UnavailableError{Service: "table"}
	s.advance(tickInterval)
	is.True(proofAge(s.leader) >= 2*time.Second)
	s.table.commitError = nil
	is.Equal(len(s.leader.commitRequests), 1)
	s.advance(RenewInterval)
	is.True(proofAge(s.leader) < RenewInterval)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("side"))
}

// Guards against a task that starts elsewhere while the lease of its executor may last, which
// leaders that don't know that they were replaced, and lost answers to commits, could cause.
func TestSilentAgentIsNotGivenUpWithinItsLease(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 200
	}
	givenUp := 0
	for seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 39))
		s := newTerms(t)
		s.connect("side")
		s.submit()
		s.advance(time.Second)
		task := oleandervalve.RunningTask{Task: oleandervalve.TaskName{Job: "a"}, Run: 1}
		leaders := []*Leader{s.leader}
		followed := s.leader // nil if the agent is disconnected
		var proof time.Time
		for range 200 {
			switch n := r.IntN(20); {
			case n < 2:
				s.clock.Advance(time.Duration(r.IntN(3000)) * time.Millisecond) // the leader is lost
				if r.IntN(3) == 0 {
					s.leader.stop()
					close(s.leader.done)
					s.leader.Release(context.Background())
				}
				s.next()
				leaders = append(leaders, s.leader)
			case n < 4:
				// One of the previous leaders may not know yet that it was replaced.
				followed = leaders[max(0, len(leaders)-1-r.IntN(3))]
				if followed.stopped {
					followed = nil
					break
				}
				s.connectTo(followed, "side", task)
			case n < 6 && followed != nil:
				followed.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.AgentDisconnected(now, "side") })
				followed = nil
			case n < 8:
				s.table.lostAnswers = r.IntN(2)
			case n < 9:
				s.table.commitError = &oleandervalve.UnavailableError{Service: "table"}
				s.advance(tickInterval)
				s.table.commitError = nil
			default:
				s.advance(time.Duration(1+r.IntN(20)) * tickInterval)
			}
			if followed != nil && !followed.stopped && r.IntN(3) > 0 {
				if at := s.clock.Now().Add(-proofAge(followed)); at.After(proof) {
					proof = at
				}
			}
			if s.assignedTo() != "side" {
				givenUp++
				if age := s.clock.Since(proof); age < ProofLifetime {
					t.Fatalf("seed %d: the task is requeued %s after the last proof", seed, age)
				}
				break
			}
		}
	}
	if givenUp < int(seeds)/10 {
		t.Fatalf("the agent is given up with %d of %d seeds", givenUp, seeds)
	}
}

// Guards against tasks of an executor that is lost shortly before the leader, which start elsewhere
// later than those of other lost executors because the next leader counts from its takeover.
func TestTakeoverDoesNotProlongTheWaitForLostExecutors(t *testing.T) {
	const (
		// target is how long long-running tasks may have nothing running.
		target = 9 * time.Second
		// undetected is the time from the loss of a leader to the takeover.
		undetected = 1300 * time.Millisecond
	)
	for after := time.Duration(0); after <= 3*time.Second; after += 300 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			s := newTerms(t)
			s.connect("lost")
			s.submit()
			s.advance(5 * time.Second)
			s.ping(dispatch.StartedRun{Task: oleandervalve.TaskName{Job: "a"}, Run: 1})
			s.advance(RenewInterval)
			s.ping()
			lostAt := s.clock.Now()
			s.advance(after)
			s.clock.Advance(undetected)
			s.next()
			s.connect("other")
			for s.assignedTo() != "other" && s.clock.Since(lostAt) < 3*target {
				s.advance(tickInterval)
			}
			got := s.clock.Since(lostAt)
			t.Logf("starts elsewhere after %s", got)
			is.True(got >= ProofLifetime)
			is.True(got < target)
		})
	}
}

// Guards against proofs of leadership that are younger than the leader's row tells the next leader,
// because a commit without the row was sent again and again.
func TestProofsAreNotYoungerThanTheRowTells(t *testing.T) {
	is := is.New(t)
	s := newTerms(t)
	s.connect("side")
	s.submit()
	s.advance(time.Second)
	var row Row
	is.NoErr(work.Decode(s.table.rows[Key], &row))
	is.True(!row.SentBy.IsZero())
	s.leader.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.Cancel(now, "a", 7) })
	b := s.leader.dispatcher.Batch()
	s.table.commitError = &oleandervalve.UnknownOutcomeError{Operation: "commit"}
	attempts := make(chan error)
	go func() { attempts <- s.leader.commit(context.Background(), b) }()
	for s.clock.Now().Before(row.SentBy.Add(3 * time.Second)) {
		time.Sleep(time.Millisecond) // the clock advances with each pause between two attempts
	}
	s.table.mu.Lock()
	s.table.commitError = nil
	s.table.mu.Unlock()
	is.NoErr(<-attempts)
	is.NoErr(work.Decode(s.table.rows[Key], &row))
	at := s.clock.Now().Add(-proofAge(s.leader))
	is.True(!at.After(row.SentBy.Add(proofInterval)))
}

// suspendingClock suspends the process for 3 s after the given number of readings.
type suspendingClock struct {
	sleeplessClock
	readings *int
}

func (c suspendingClock) Now() time.Time {
	now := c.sleeplessClock.Now()
	if *c.readings--; *c.readings == 0 {
		c.Advance(3 * time.Second)
	}
	return now
}

// Guards against proofs of leadership that are younger than the leader's row tells the next leader,
// because the process was suspended while the row was being written.
func TestSuspensionDoesNotMakeProofsYoungerThanTheRowTells(t *testing.T) {
	for readings := 1; readings <= 12; readings++ {
		s := newTerms(t)
		s.connect("side")
		s.submit()
		s.advance(time.Second)
		s.clock.Advance(RenewInterval)
		n := readings
		s.leader.options.Clock = suspendingClock{s.clock, &n}
		for range 3 {
			if err := s.leader.commit(context.Background(), &dispatch.Batch{}); err != nil {
				t.Fatal(err)
			}
			row, err := DecodeRow(s.table.rows[Key])
			if err != nil {
				t.Fatal(err)
			}
			if late := s.leader.lastProofAt.Time.Sub(row.SentBy.Add(proofInterval)); late > time.Microsecond { // rows round
				t.Errorf("suspended after %d readings: a proof is %s younger than the row tells", readings, late)
			}
		}
	}
}

// Guards against a second run of a task whose agent was named as silent by the rows of two leaders
// and got a proof from the second one.
func TestProofsOfInheritedSilencesAreNotYoungerThanTheRowTells(t *testing.T) {
	is := is.New(t)
	s := newLostAgentTerms(t, 2*time.Second)
	s.clock.Advance(3 * time.Second) // the leader is lost
	s.next()
	s.advance(RenewInterval) // the row names a-1
	s.connect("a-1", oleandervalve.RunningTask{Task: oleandervalve.TaskName{Job: "a"}, Run: 1})
	proof := s.clock.Now().Add(-s.leader.proofAge("a-1"))
	s.next()
	s.connect("a-2")
	for s.assignedTo() == "a-1" {
		s.advance(tickInterval)
	}
	t.Logf("starts elsewhere %s after the last proof", s.clock.Since(proof))
	is.True(s.clock.Since(proof) >= ProofLifetime)
}
