package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

const (
	// maxQuestions bounds the questions that wait here; the rest is asked again.
	maxQuestions = 256
	// permitSlack is the time for an answer beyond what the policy says.
	permitSlack = 700 * time.Millisecond
)

// ask queues a question for permits; the lock is held. The service takes one
// question of an instance at a time.
func (l *Leader) ask(q dispatch.RequestPermits) {
	select {
	case l.questions <- q:
	default:
		l.options.Log.WithFields(logrus.Fields{"job": q.Step.Job, "step": q.Step.Step, "waiting": len(l.questions)}).Warn("too many questions for permits wait; it is asked again")
		go l.do(func(d *dispatch.Dispatcher, now time.Time) { d.PermitsReceived(now, q, nil) })
	}
}

// askLoop asks one question after another until the term ends.
func (l *Leader) askLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-l.questions:
			grant := l.permits(ctx, q)
			l.do(func(d *dispatch.Dispatcher, now time.Time) { d.PermitsReceived(now, q, grant) })
		}
	}
}

// permits asks the service, and returns nil without an answer.
func (l *Leader) permits(ctx context.Context, q dispatch.RequestPermits) *oleandervalve.PermitGrant {
	log := l.options.Log.WithFields(logrus.Fields{"job": q.Step.Job, "step": q.Step.Step, "executors": len(q.Executors)})
	if l.options.Permits == nil {
		log.Error("the queue needs placement permits and the settings name no service for them: add its address")
		return nil
	}
	call, cancel := context.WithTimeout(ctx, q.Timeout+permitSlack)
	defer cancel()
	started := l.options.Clock.Now()
	g, err := l.options.Permits.Ask(call, q.Step, q.Executors)
	took := l.options.Clock.Since(started)
	if err != nil {
		log.WithField("tookMs", took.Milliseconds()).WithError(err).Warn("permits are not answered; asking again")
		return nil
	}
	// The answer may have been on its way for as long as the call took beyond
	// the deciding; the tickets count from before that.
	g.Valid -= max(0, took-q.Timeout)
	return &g
}
