package leader

import (
	"testing"
	"time"

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
		{"cancel absent job", peer.CallCancel, false, false, nil, dispatch.JobNotFound},
		{"cancel absent job, old proof", peer.CallCancel, false, true, nil, dispatch.JobNotFound},
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

// Guards against requests for unknown jobs that crowd out the leader's commits at the table.
func TestReadsForAbsentJobsAreLimited(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, _ := startLeader(t, x)
	is.Equal(submit(l).Verdict, dispatch.Accepted)
	x.mu.Lock() // no read ends
	verdicts := make(chan dispatch.Verdict, 10*maxAbsenceReads)
	for n := range 2 * maxAbsenceReads {
		kind := peer.CallStatus
		if n%2 == 0 {
			kind = peer.CallCancel
		}
		l.Call(peer.JobCall{ID: uint64(n), Kind: kind, Job: "unknown"}, func(r peer.JobReply) { verdicts <- r.Verdict })
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
