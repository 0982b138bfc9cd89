package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// noLeaderRetryAfter is the retry delay given to callers while no entry leads. A
// takeover after a crash takes about as long.
const noLeaderRetryAfter = time.Second

// submissionBuckets range from 1 ms to 4 s; callers don't wait longer than that.
var submissionBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

var _ work.Service = (*Gateway)(nil)

// NotReadyReason returns why the process is not ready, or "" if it is ready.
func (g *Gateway) NotReadyReason() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopping:
		return "process is stopping"
	case g.configuration == nil:
		return "no configuration yet"
	case g.upstream == nil:
		return "no leading entry is connected"
	}
	return ""
}

// Route returns the queue for a host and path.
func (g *Gateway) Route(host, path string) (work.Route, error) {
	g.mu.Lock()
	c := g.configuration
	g.mu.Unlock()
	if c == nil {
		return work.Route{}, &oleandervalve.UnavailableError{Service: "configuration", Remedy: "retry once the entry is ready", RetryAfter: noLeaderRetryAfter}
	}
	r, ok := c.Match(host, path)
	if !ok {
		return work.Route{}, &oleandervalve.NotFoundError{Kind: "queue", Name: host + path, Remedy: "use a host and path of the configuration"}
	}
	return r, nil
}

const (
	// leaderWait is how long a request waits for a leading entry before it is
	// refused. A handover takes about 100 ms.
	leaderWait = 400 * time.Millisecond
	// outcomeWait is how long a request without a reply from its leader waits for the
	// next one. It is longer than leaderWait because only the next leader can tell
	// whether the request took effect.
	outcomeWait = 1200 * time.Millisecond
)

// call forwards a request to the leader and waits for the reply. sent reports whether
// the request may have reached a leader, and answered whether there is a reply. A
// request whose leader fails before it replies is repeated to the next leader. That
// is safe because a job's id makes the request idempotent, and a leader that has
// loaded the jobs knows which were accepted.
func (g *Gateway) call(ctx context.Context, m peer.JobCall) (r peer.JobReply, sent, answered bool) {
	started := g.options.Clock.Now()
	for {
		g.mu.Lock()
		u, upstreamSet := g.upstream, g.upstreamSet
		g.mu.Unlock()
		if u != nil {
			r, answered = callOnce(ctx, u, m)
			if answered && r.Reason != reasonNoLeader {
				// A refusal doesn't cover what a leader that was lost may have stored: the one
				// that refuses may have been replaced by it without knowing.
				return r, true, !sent || m.Kind != peer.CallSubmit || r.Verdict != dispatch.NotRun
			}
			sent = sent || !answered
		}
		wait := leaderWait
		if sent {
			wait = outcomeWait
		}
		select {
		case <-upstreamSet:
			g.options.Log.WithFields(logrus.Fields{
				"job": m.Job, "kind": m.Kind, "lost": sent, "waitedMs": g.options.Clock.Since(started).Milliseconds(),
			}).Info("asking the next leader")
		case <-g.options.Clock.After(wait - g.options.Clock.Since(started)):
			return r, sent, false
		case <-ctx.Done():
			return r, sent, false
		}
	}
}

// reasonNoLeader is the reason for refusing a request while no entry leads.
const reasonNoLeader = "noLeader"

// callOnce forwards a request to one leader. answered is false if the outcome is
// unknown or the context ends first.
func callOnce(ctx context.Context, u upstream, m peer.JobCall) (r peer.JobReply, answered bool) {
	answer := make(chan peer.JobReply, 1)
	u.Call(m, func(r peer.JobReply) {
		select {
		case answer <- r:
		default:
		}
	})
	select {
	case r = <-answer:
		return r, r.Verdict != dispatch.Unknown
	case <-ctx.Done():
		return r, false
	}
}

// Submit submits a job and returns once the job is stored durably.
func (g *Gateway) Submit(ctx context.Context, q work.Queue, j oleandervalve.JobID, s work.Spec) error {
	started := g.options.Clock.Now()
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallSubmit, Job: j, Queue: q, Spec: s})
	outcome := "accepted"
	var err error
	switch {
	case !sent:
		outcome = "notRun"
		err = &oleandervalve.NotRunError{Reason: reasonNoLeader, Remedy: "retry later; no entry leads", RetryAfter: noLeaderRetryAfter}
	case !answered:
		outcome = "unknown"
		err = &oleandervalve.UnknownOutcomeError{Operation: "submission of job " + string(j), Remedy: "submit it again under the same id"}
	case r.Verdict == dispatch.NotRun:
		outcome = "notRun"
		err = &oleandervalve.NotRunError{Reason: r.Reason, Remedy: "retry later", RetryAfter: r.RetryAfter}
	case r.Verdict != dispatch.Accepted:
		outcome = "unknown"
		err = unansweredError(true)
	}
	g.options.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("submissions").Inc(1)
	g.options.Scope.Histogram("submission_time", submissionBuckets).RecordDuration(g.options.Clock.Since(started))
	g.options.Log.WithFields(logrus.Fields{
		"job": j, "queue": q.Name, "outcome": outcome, "reason": r.Reason, "tookMs": g.options.Clock.Since(started).Milliseconds(), "revision": g.Revision(),
	}).Info("submission")
	return err
}

// unansweredError returns the error for a request without a reply, which depends on
// whether the request may have changed something at a leader.
func unansweredError(mayHaveChanged bool) error {
	if !mayHaveChanged {
		return &oleandervalve.UnavailableError{Service: "leading entry", Remedy: "retry later", RetryAfter: noLeaderRetryAfter}
	}
	return &oleandervalve.UnknownOutcomeError{Operation: "request to the leading entry", Remedy: "repeat it"}
}

// jobNotFoundError returns the error for a job that the leader doesn't have.
func jobNotFoundError(j oleandervalve.JobID) error {
	return &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the id; ended jobs are kept for a limited time"}
}

// Status returns the state of a job.
func (g *Gateway) Status(ctx context.Context, j oleandervalve.JobID) (work.State, error) {
	r, _, answered := g.call(ctx, peer.JobCall{Kind: peer.CallStatus, Job: j})
	switch {
	case !answered:
		return 0, unansweredError(false) // a read has no outcome that could be unknown
	case r.Verdict == dispatch.NotRun:
		return 0, unansweredError(false)
	case r.Verdict == dispatch.JobNotFound:
		return 0, jobNotFoundError(j)
	case r.Verdict != dispatch.Accepted:
		return 0, unansweredError(false)
	}
	return r.State, nil
}

// Cancel cancels a job.
func (g *Gateway) Cancel(ctx context.Context, j oleandervalve.JobID) error {
	started := g.options.Clock.Now()
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallCancel, Job: j})
	g.mu.Lock()
	address := g.leaderAddress
	g.mu.Unlock()
	g.options.Log.WithFields(logrus.Fields{
		"job": j, "answered": answered, "verdict": r.Verdict, "reason": r.Reason, "leader": address, "tookMs": g.options.Clock.Since(started).Milliseconds(),
	}).Info("cancellation")
	switch {
	case !answered:
		return unansweredError(sent)
	case r.Verdict == dispatch.NotRun:
		return unansweredError(false)
	case r.Verdict == dispatch.JobNotFound:
		return jobNotFoundError(j)
	case r.Verdict != dispatch.Accepted:
		return unansweredError(true)
	}
	return nil
}

// Waiting returns the number of jobs of a queue of which no task has started yet.
func (g *Gateway) Waiting(ctx context.Context, q work.QueueName) (int, error) {
	r, _, answered := g.call(ctx, peer.JobCall{Kind: peer.CallCountWaiting, Queue: work.Queue{Name: q}})
	if !answered || r.Verdict != dispatch.Accepted {
		return 0, unansweredError(false)
	}
	return r.Count, nil
}
