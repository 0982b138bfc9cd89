package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve/core/dispatch"
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
			if !l.failingSince.IsZero() && now.Sub(l.failingSince) > refuseSubmissionsAfter && !d.HasJob(m.Job) {
				failing := now.Sub(l.failingSince)
				retryAfter := retryAfterOutage(failing)
				answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "tableUnavailable", RetryAfter: retryAfter})
				l.options.Log.WithFields(logrus.Fields{"job": m.Job, "failingMs": failing.Milliseconds(), "retryAfterMs": retryAfter.Milliseconds()}).Info("submission refused: table is out of reach")
				return
			}
			d.Submit(now, dispatch.Submission{Token: l.registerReply(m.ID, answer), Job: m.Job, Queue: m.Queue, Spec: m.Spec})
		case peer.CallCancel:
			d.Cancel(now, m.Job, l.registerReply(m.ID, answer))
		case peer.CallStatus:
			st, ok := d.State(m.Job)
			r := peer.JobReply{ID: m.ID, State: st}
			if !ok {
				r.Verdict = dispatch.JobNotFound
			}
			answer(r)
		case peer.CallCountWaiting:
			answer(peer.JobReply{ID: m.ID, Count: d.Waiting(m.Queue.Name)})
		}
	})
	if !handled {
		answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "noLeader", RetryAfter: time.Second})
	}
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
