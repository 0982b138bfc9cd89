package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// Call handles a caller's request; the answer may come later.
func (l *Leader) Call(m peer.JobCall, answer func(peer.JobReply)) {
	handled := false
	l.do(func(d *dispatch.Dispatcher, now time.Time) {
		handled = true
		switch m.Kind {
		case peer.CallSubmit:
			if !l.failingSince.IsZero() && now.Sub(l.failingSince) > refuseAfter && !d.HasJob(m.Job) {
				failing := now.Sub(l.failingSince)
				after := comeBack(failing)
				answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "tableUnavailable", RetryAfter: after})
				l.options.Log.WithFields(logrus.Fields{"job": m.Job, "failingMs": failing.Milliseconds(), "retryAfterMs": after.Milliseconds()}).Info("refused: table is out of reach")
				return
			}
			d.Submit(now, dispatch.Submission{Token: l.await(m.ID, answer), Job: m.Job, Queue: m.Queue, Spec: m.Spec})
		case peer.CallCancel:
			d.Cancel(now, m.Job, l.await(m.ID, answer))
		case peer.CallStatus:
			st, ok := d.State(m.Job)
			r := peer.JobReply{ID: m.ID, State: st}
			if !ok {
				r.Verdict = dispatch.JobNotFound
			}
			answer(r)
		case peer.CallWaiting:
			answer(peer.JobReply{ID: m.ID, Count: d.Waiting(m.Queue.Name)})
		}
	})
	if !handled {
		answer(peer.JobReply{ID: m.ID, Verdict: dispatch.NotRun, Reason: "noLeader", RetryAfter: time.Second})
	}
}

// await registers a reply; the lock is held.
func (l *Leader) await(id uint64, answer func(peer.JobReply)) dispatch.Token {
	l.nextToken++
	l.replies[l.nextToken] = func(r dispatch.Reply) {
		answer(peer.JobReply{ID: id, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return l.nextToken
}

const (
	// firstComeBack and lastComeBack bound the time after which a refused caller
	// is told to come back; callers try a few times only.
	firstComeBack = time.Second
	lastComeBack  = 4 * time.Second
)

// comeBack is when a caller should try again while the table has been out of
// reach for a time: an outage goes on for about as long as it has lasted, and
// callers with few retries left must not spend them all within it.
func comeBack(failing time.Duration) time.Duration {
	return min(max(failing, firstComeBack), lastComeBack)
}
