package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// acquire replaces the leader by one that has not loaded the jobs.
func (s *terms) acquire() {
	s.t.Helper()
	options := testOptions(s.table)
	options.Clock = s.clock
	l, err := Acquire(context.Background(), options, s.table.rows[Key], Row{Entry: "e-1", Process: "p"})
	if err != nil {
		s.t.Fatal(err)
	}
	s.leader = l
}

// newLostAgentTerms returns a leader with a task that is assigned to agent a-1, which has been
// silent for the given time.
func newLostAgentTerms(t *testing.T, silent time.Duration) *terms {
	s := newTerms(t)
	s.connect("a-1")
	s.submit()
	s.advance(time.Second)
	if s.assignedTo() != "a-1" {
		t.Fatal("the task is not assigned")
	}
	s.disconnect("a-1")
	s.advance(silent)
	return s
}

// Guards against tasks of a lost agent that wait anew after a leader that was slow to load the jobs.
func TestRenewalWhileLoadingKeepsSilences(t *testing.T) {
	is := is.New(t)
	s := newLostAgentTerms(t, 3*time.Second)
	s.acquire()
	for range 4 {
		s.clock.Advance(RenewInterval)
		err := s.leader.commit(context.Background(), &dispatch.Batch{})
		is.NoErr(err)
	}
	row, err := DecodeRow(s.table.rows[Key])
	is.NoErr(err)
	is.Equal(len(row.Silences), 1)
	is.Equal(row.Silences[0].Agent, oleandervalve.AgentID("a-1"))
	is.True(row.Silences[0].For >= 2*time.Second+4*RenewInterval)
}

// Guards against tasks of a lost agent that wait longer with each planned stop of a leader.
func TestReleasedRowNamesSilencesUpToTheStop(t *testing.T) {
	is := is.New(t)
	s := newLostAgentTerms(t, 2*time.Second)
	s.clock.Advance(5 * time.Second) // without a renewal
	close(s.leader.done)
	s.leader.Release(context.Background())
	row, err := DecodeRow(s.table.rows[Key])
	is.NoErr(err)
	is.True(row.Released)
	is.Equal(len(row.Silences), 1)
	is.True(row.Silences[0].For >= 7*time.Second)
}

// Guards against a second run of a task beside an executor whose agent got a proof while the jobs
// were loaded, and then was lost.
func TestProofGivenWhileLoadingDelaysTakeover(t *testing.T) {
	is := is.New(t)
	s := newLostAgentTerms(t, 500*time.Millisecond) // not yet named by the row
	s.acquire()
	_, _, address := startLoading(t)
	x := &session{conn: dial(t, address, peer.Join{Agent: "a-1"})}
	s.leader.agents["a-1"] = x
	s.clock.Advance(5 * time.Second)
	err := s.leader.commit(context.Background(), &dispatch.Batch{})
	is.NoErr(err)
	s.leader.answerPing("a-1", x, &peer.Ping{Sequence: 1})
	delete(s.leader.agents, "a-1")
	is.NoErr(s.leader.load(context.Background()))
	s.connect("a-2")
	s.advance(ProofLifetime)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("a-1"))
	s.advance(2 * time.Second)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("a-2"))
}

// Guards against a second run of a task whose agent's silence was counted twice: in the row of a
// planned stop and in the age of the row before.
func TestReleasedRowDoesNotCountSilencesTwice(t *testing.T) {
	is := is.New(t)
	s := newLostAgentTerms(t, 2*time.Second)
	s.clock.Advance(4 * time.Second) // without a renewal
	close(s.leader.done)
	s.leader.Release(context.Background())
	s.next()
	s.connect("a-2")
	s.advance(500 * time.Millisecond) // 7.5 s after the last proof
	is.Equal(s.assignedTo(), oleandervalve.AgentID("a-1"))
	s.advance(2 * time.Second)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("a-2"))
}
