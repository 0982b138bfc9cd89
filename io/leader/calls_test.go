package leader

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// Guards against callers that use up all their retries during an outage of the
// table. A caller whose first attempt comes when the outage is detected must make
// its fifth attempt after more than ten seconds, and its first retry after one.
func TestRetriesOutlastOutage(t *testing.T) {
	is := is.New(t)
	elapsed := refuseSubmissionsAfter
	is.Equal(retryAfterOutage(elapsed), time.Second)
	for range 4 {
		// The HTTP interface reports whole seconds, rounded up.
		elapsed += (retryAfterOutage(elapsed) + time.Second - 1).Truncate(time.Second)
	}
	is.True(elapsed > 10*time.Second)
}

// Guards against a leader that was replaced without knowing it, or is cut off from the table, and
// tells callers that a job which the next leader has accepted doesn't exist: the job runs on
// after its cancellation was acknowledged.
func TestLeaderConfirmsThatAJobIsAbsent(t *testing.T) {
	outage := &oleandervalve.UnavailableError{Service: "table"}
	for _, tt := range []struct {
		name string
		kind peer.JobCallKind
		// stored means that another leader has stored the job, and getError that the table
		// can't be read. oldProof means that the last proof of leadership is old.
		stored, oldProof bool
		getError         error
		want             dispatch.Verdict
	}{
		{"cancel absent job", peer.CallCancel, false, false, nil, dispatch.NotRun}, // it takes a commit
		{"cancel absent job, old proof", peer.CallCancel, false, true, nil, dispatch.NotRun},
		{"cancel stored job", peer.CallCancel, true, false, nil, dispatch.NotRun},
		{"cancel stored job, old proof", peer.CallCancel, true, true, nil, dispatch.NotRun},
		{"cancel during outage", peer.CallCancel, true, false, outage, dispatch.NotRun},
		{"status of absent job", peer.CallStatus, false, false, nil, dispatch.JobNotFound},
		{"status of absent job, old proof", peer.CallStatus, false, true, nil, dispatch.JobNotFound},
		{"status of stored job", peer.CallStatus, true, false, nil, dispatch.NotRun},
		{"status during outage", peer.CallStatus, false, false, outage, dispatch.NotRun},
		{"status of stored job, old proof", peer.CallStatus, true, true, nil, dispatch.NotRun},
		{"status during outage, old proof", peer.CallStatus, false, true, outage, dispatch.NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newFakeTable()
			l, _ := startLeader(t, x)
			is.Equal(submit(l).Verdict, dispatch.Accepted)
			x.mu.Lock()
			x.commitError = outage // the leader doesn't learn that it was replaced
			x.getError = tt.getError
			if tt.stored {
				x.version++
				x.rows[work.RecordKey("next")] = oleandervalve.Row{Key: work.RecordKey("next"), Version: x.version}
			}
			x.mu.Unlock()
			if tt.oldProof {
				l.mu.Lock()
				l.lastProofAt = l.options.now().Add(-time.Minute)
				l.mu.Unlock()
			}
			answer := make(chan peer.JobReply, 1)
			l.Call(peer.JobCall{ID: 1, Kind: tt.kind, Job: "next"}, func(r peer.JobReply) { answer <- r })
			r := <-answer
			is.Equal(r.Verdict, tt.want)
			is.Equal(r.RetryAfter > 0, tt.want == dispatch.NotRun)
		})
	}
}

// Guards against a leader that was replaced without knowing it and denies a job, because a repeated
// submission of it waits there for a commit.
func TestLeaderConfirmsThatAWaitingJobIsAbsent(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, _ := startLeader(t, x)
	x.mu.Lock()
	x.commitError = &oleandervalve.UnknownOutcomeError{Operation: "commit"}
	x.mu.Unlock()
	call(l, peer.JobCall{ID: 1, Kind: peer.CallSubmit, Job: "a", Queue: work.Queue{Name: "q", Service: "s"}, Spec: work.Spec{Steps: []work.Step{{Count: 1}}}})
	status := peer.JobCall{ID: 2, Kind: peer.CallStatus, Job: "a"}
	is.Equal((<-call(l, status)).Verdict, dispatch.JobNotFound)
	x.mu.Lock()
	x.version++
	x.rows[work.RecordKey("a")] = oleandervalve.Row{Key: work.RecordKey("a"), Version: x.version}
	x.mu.Unlock()
	is.Equal((<-call(l, status)).Verdict, dispatch.NotRun)
}

// call sends a request to a leader and returns a channel that receives the reply.
func call(l *Leader, m peer.JobCall) chan peer.JobReply {
	answer := make(chan peer.JobReply, 1)
	l.Call(m, func(r peer.JobReply) { answer <- r })
	return answer
}

// Guards against a job that runs although its cancellation was acknowledged, because the
// cancellation has overtaken the submission, at the same leader or before the next one took over.
func TestCancellationThatOvertakesSubmission(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, ended := startLeader(t, x)
	cancel, status := peer.JobCall{ID: 1, Kind: peer.CallCancel, Job: "a"}, peer.JobCall{ID: 2, Kind: peer.CallStatus, Job: "a"}
	for range 2 {
		is.Equal((<-call(l, cancel)).Verdict, dispatch.JobNotFound)
		is.Equal((<-call(l, status)).Verdict, dispatch.JobNotFound)
	}
	l.cancel()
	is.NoErr(<-ended)
	next, err := Acquire(context.Background(), testOptions(x), x.rows[Key], Row{Entry: "e-2", Process: "q"})
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = next.Run(ctx) }() // ends with the test
	<-next.ready
	is.Equal((<-call(next, status)).Verdict, dispatch.JobNotFound)
	is.Equal(submit(next).Verdict, dispatch.Accepted)
	is.Equal(submit(next).Verdict, dispatch.Accepted) // a repeated submission
	is.Equal((<-call(next, status)).State, work.Cancelled)
	is.Equal((<-call(next, cancel)).Verdict, dispatch.Accepted)
}

// Guards against a replaced leader that acknowledges the cancellation of a job which the next
// leader has accepted, or refuses it instead of leaving it to that leader.
func TestCancellationAtReplacedLeaderIsLeftToTheNext(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, ended := startLeader(t, x)
	x.mu.Lock()
	x.version++
	x.rows[Key] = oleandervalve.Row{Key: Key, Value: work.Encode(Row{Entry: "e-2", Term: 2}), Version: x.version}
	x.rows[work.RecordKey("next")] = oleandervalve.Row{Key: work.RecordKey("next"), Version: x.version}
	x.mu.Unlock()
	is.Equal((<-call(l, peer.JobCall{ID: 1, Kind: peer.CallCancel, Job: "next"})).Verdict, dispatch.Unknown)
	is.True(errors.Is(<-ended, ErrFenced))
}

// Guards against a leader that acknowledges the cancellation of a job whose row it could not
// read, or ends its term because of it.
func TestCancellationOfJobWithOddRow(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	x.version = 1
	x.rows[work.RecordKey("odd")] = oleandervalve.Row{Key: work.RecordKey("odd"), Version: 1}
	l, ended := startLeader(t, x)
	is.Equal((<-call(l, peer.JobCall{ID: 1, Kind: peer.CallCancel, Job: "odd"})).Verdict, dispatch.NotRun)
	is.Equal(submit(l).Verdict, dispatch.Accepted)
	is.Equal(len(ended), 0)
}

// Guards against requests for unknown jobs that crowd out the leader's commits at the table.
func TestReadsForAbsentJobsAreLimited(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, _ := startLeader(t, x)
	is.Equal(submit(l).Verdict, dispatch.Accepted)
	x.mu.Lock() // no read ends
	verdicts := make(chan dispatch.Verdict, 10*maxAbsenceReads)
	for n := range 2 * maxAbsenceReads {
		if n == maxAbsenceReads*3/2 {
			l.mu.Lock()
			l.lastProofAt = l.options.now().Add(-time.Minute)
			l.mu.Unlock()
		}
		l.Call(peer.JobCall{ID: uint64(n), Kind: peer.CallStatus, Job: "unknown"}, func(r peer.JobReply) { verdicts <- r.Verdict })
	}
	counts := map[dispatch.Verdict]int{}
	for range maxAbsenceReads {
		counts[<-verdicts]++
	}
	is.Equal(counts, map[dispatch.Verdict]int{dispatch.NotRun: maxAbsenceReads / 2, dispatch.JobNotFound: maxAbsenceReads / 2})
	x.mu.Unlock()
	for range maxAbsenceReads {
		is.Equal(<-verdicts, dispatch.JobNotFound)
	}
}
