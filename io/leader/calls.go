package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// Call handles a caller's request. It may call answer after it has returned.
func (l *Leader) Call(m peer.JobCall, answer func(peer.JobReply)) {
	handled := false
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) {
		handled = true
		switch m.Kind {
		case peer.CallSubmit:
			if err := m.Spec.Validate(); err != nil {
				// An entry of an earlier release may accept what this one can't handle.
				answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "invalidJob", RetryAfter: maxRetryAfter})
				l.options.Log.WithField("job", m.Job).WithError(err).Warn("submission refused: the job is invalid")
				return
			}
			if !d.HasJob(m.Job) && l.refuseInOutage(m, now, answer) {
				return
			}
			d.Submit(now, dispatch.Submission{Token: l.registerReply(m.ID, answer), Job: m.Job, Queue: m.Queue, Spec: m.Spec})
		case peer.CallCancel:
			known := d.HasJob(m.Job)
			l.options.Log.WithFields(logrus.Fields{
				"job": m.Job, "known": known, "term": l.row.Term, "proofAgeMs": l.options.now().Sub(l.lastProofAt).Milliseconds(),
			}).Info("cancellation requested")
			if !known && l.refuseInOutage(m, now, answer) {
				return
			}
			d.Cancel(now, m.Job, l.registerReply(m.ID, answer))
		case peer.CallStatus:
			st, ok := d.State(m.Job)
			switch {
			case ok:
				answer(peer.JobReply{ID: m.ID, State: st})
			case d.IsStored(m.Job):
				answer(peer.JobReply{ID: m.ID, Verdict: dispatch.JobNotFound}) // cancelled without a submission
			default:
				l.answerAbsent(m, answer)
			}
		case peer.CallCountWaiting:
			n, known := d.Waiting(now, m.Queue.Name)
			if !known {
				answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "takeover", RetryAfter: minRetryAfter})
				return
			}
			answer(peer.JobReply{ID: m.ID, Count: n})
		}
	})
	if !handled {
		answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "noLeader", RetryAfter: time.Second})
	}
}

// refuseInOutage refuses a request that needs a new row if commits have failed for a while, and
// reports whether it did. The lock must be held.
func (l *Leader) refuseInOutage(m peer.JobCall, now time.Time, answer func(peer.JobReply)) bool {
	failing := now.Sub(l.failingSince)
	if l.failingSince.IsZero() || failing <= refuseSubmissionsAfter {
		return false
	}
	retryAfter := retryAfterOutage(failing)
	answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "tableUnavailable", RetryAfter: retryAfter})
	request := "submission"
	if m.Kind == peer.CallCancel {
		request = "cancellation"
	}
	l.options.Log.WithFields(logrus.Fields{"job": m.Job, "failingMs": failing.Milliseconds(), "retryAfterMs": retryAfter.Milliseconds()}).Info(request + " refused: table is out of reach")
	return true
}

const (
	// maxAbsenceReads limits the reads in flight that confirm that a job is not stored.
	maxAbsenceReads = 16
	// maxAbsenceProofAge is the age of the last proof of leadership up to which, beyond that
	// limit, a leader says from memory that a job is unknown. Another leader may have accepted
	// it since; callers are promised to see it after 3 s.
	maxAbsenceProofAge = time.Second
	// absenceTimeout is the timeout of the read that confirms that a job is not stored.
	absenceTimeout = time.Second
)

// answerAbsent answers a request for the state of a job that the leader doesn't have. The lock
// must be held.
func (l *Leader) answerAbsent(m peer.JobCall, answer func(peer.JobReply)) {
	select {
	case l.absenceReads <- struct{}{}:
		go func() {
			defer func() { <-l.absenceReads }()
			l.confirmAbsent(m, answer)
		}()
	default:
		if l.options.now().Sub(l.lastProofAt) < maxAbsenceProofAge {
			answer(peer.JobReply{ID: m.ID, Verdict: dispatch.JobNotFound})
			return
		}
		answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "busy", RetryAfter: minRetryAfter})
	}
}

// confirmAbsent answers a request for the state of a job that the leader doesn't have: another
// leader may have taken over and accepted it, so the table is asked.
func (l *Leader) confirmAbsent(m peer.JobCall, answer func(peer.JobReply)) {
	ctx, cancel := context.WithTimeout(context.Background(), absenceTimeout)
	defer cancel()
	rows, err := l.options.Table.Get(ctx, work.RecordKey(m.Job))
	if err == nil && rows[0].Version == 0 {
		answer(peer.JobReply{ID: m.ID, Verdict: dispatch.JobNotFound})
		return
	}
	reason := oleandervalve.Reason("jobNotLoaded")
	if err != nil {
		reason = "tableUnavailable"
	}
	l.options.Log.WithFields(logrus.Fields{"job": m.Job, "reason": reason}).WithError(err).Warn("request refused: the leader doesn't have the job, and it may be stored")
	answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: reason, RetryAfter: minRetryAfter})
}

// registerReply stores the function that answers request id and returns the token
// under which the dispatcher replies. The lock must be held.
func (l *Leader) registerReply(id uint64, answer func(peer.JobReply)) dispatch.Token {
	l.nextToken++
	l.replies[l.nextToken] = func(r dispatch.Reply) {
		answer(peer.JobReply{ID: id, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return l.nextToken
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is
	// given. The upper bound exists because callers make only a few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryAfterOutage returns the retry delay for a caller when commits have failed for
// the given time. An outage is expected to last about as long again as it has
// lasted so far, and callers must not use up their few retries during it.
func retryAfterOutage(failing time.Duration) time.Duration {
	return min(max(failing, minRetryAfter), maxRetryAfter)
}
