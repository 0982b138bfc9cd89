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

// noLeaderRetry is when a caller may come back while no entry leads; a takeover
// after a crash takes about as long.
const noLeaderRetry = time.Second

// submissionBuckets spread from one millisecond to four seconds, beyond which callers leave.
var submissionBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

var _ work.Service = (*Gateway)(nil)

// NotReadyReason returns what the process still waits for, or "".
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
		return work.Route{}, &oleandervalve.UnavailableError{Service: "configuration", Remedy: "retry once the entry is ready", RetryAfter: noLeaderRetry}
	}
	r, ok := c.Match(host, path)
	if !ok {
		return work.Route{}, &oleandervalve.NotFoundError{Kind: "queue", Name: host + path, Remedy: "use a host and path of the configuration"}
	}
	return r, nil
}

const (
	// leaderWait is how long a request waits for a leading entry before it is
	// refused; a handover takes about a tenth of a second.
	leaderWait = 400 * time.Millisecond
	// outcomeWait is the same for a request that was lost with its leader: only
	// the next leader knows what became of it.
	outcomeWait = 1200 * time.Millisecond
)

// call passes a request on and waits for the answer; sent is false if it was not
// sent, and answered is false if the outcome is unknown. A request that is lost
// with its leader is asked again of the next one: a job's id makes that safe,
// and a leader that has loaded the jobs knows for certain which were accepted.
func (g *Gateway) call(ctx context.Context, m peer.JobCall) (r peer.JobReply, sent, answered bool) {
	started := g.options.Clock.Now()
	for {
		g.mu.Lock()
		u, next := g.upstream, g.connected
		g.mu.Unlock()
		if u != nil {
			r, answered = ask(ctx, u, m)
			if answered && r.Reason != reasonNoLeader {
				return r, true, true
			}
			sent = sent || !answered
		}
		wait := leaderWait
		if sent {
			wait = outcomeWait
		}
		select {
		case <-next:
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

// reasonNoLeader refuses a request because no entry leads.
const reasonNoLeader = "noLeader"

// ask passes a request to a leader once.
func ask(ctx context.Context, u upstream, m peer.JobCall) (r peer.JobReply, answered bool) {
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

// Submit accepts a job durably.
func (g *Gateway) Submit(ctx context.Context, q work.Queue, j oleandervalve.JobID, s work.Spec) error {
	started := g.options.Clock.Now()
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallSubmit, Job: j, Queue: q, Spec: s})
	outcome := "accepted"
	var err error
	switch {
	case !sent:
		outcome = "notRun"
		err = &oleandervalve.NotRunError{Reason: reasonNoLeader, Remedy: "retry later; no entry leads", RetryAfter: noLeaderRetry}
	case !answered:
		outcome = "unknown"
		err = &oleandervalve.UnknownOutcomeError{Operation: "submission of job " + string(j), Remedy: "submit it again under the same id"}
	case r.Verdict == dispatch.NotRun:
		outcome = "notRun"
		err = &oleandervalve.NotRunError{Reason: r.Reason, Remedy: "retry later", RetryAfter: r.RetryAfter}
	}
	g.options.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("submissions").Inc(1)
	g.options.Scope.Histogram("submission_time", submissionBuckets).RecordDuration(g.options.Clock.Since(started))
	g.options.Log.WithFields(logrus.Fields{
		"job": j, "queue": q.Name, "outcome": outcome, "reason": r.Reason, "tookMs": g.options.Clock.Since(started).Milliseconds(), "revision": g.Revision(),
	}).Info("submission")
	return err
}

func unavailable(sent bool) error {
	if !sent {
		return &oleandervalve.UnavailableError{Service: "leading entry", Remedy: "retry later", RetryAfter: noLeaderRetry}
	}
	return &oleandervalve.UnknownOutcomeError{Operation: "request to the leading entry", Remedy: "repeat it"}
}

func noJob(j oleandervalve.JobID) error {
	return &oleandervalve.NotFoundError{Kind: "job", Name: string(j), Remedy: "check the id; ended jobs are kept for a limited time"}
}

// Status returns the state of a job.
func (g *Gateway) Status(ctx context.Context, j oleandervalve.JobID) (work.State, error) {
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallStatus, Job: j})
	switch {
	case !answered:
		return 0, unavailable(sent)
	case r.Verdict == dispatch.NotRun:
		return 0, unavailable(false)
	case r.Verdict == dispatch.JobNotFound:
		return 0, noJob(j)
	}
	return r.State, nil
}

// Cancel ends a job.
func (g *Gateway) Cancel(ctx context.Context, j oleandervalve.JobID) error {
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallCancel, Job: j})
	g.options.Log.WithFields(logrus.Fields{"job": j, "answered": answered, "verdict": r.Verdict}).Info("cancellation")
	switch {
	case !answered:
		return unavailable(sent)
	case r.Verdict == dispatch.NotRun:
		return unavailable(false)
	case r.Verdict == dispatch.JobNotFound:
		return noJob(j)
	}
	return nil
}

// Waiting counts the jobs of a queue that have not begun.
func (g *Gateway) Waiting(ctx context.Context, q work.QueueName) (int, error) {
	r, sent, answered := g.call(ctx, peer.JobCall{Kind: peer.CallWaiting, Queue: work.Queue{Name: q}})
	if !answered || r.Verdict == dispatch.NotRun {
		return 0, unavailable(sent && answered)
	}
	return r.Count, nil
}
