package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

const (
	// maxPermitRequests is the maximum number of queued requests. The dispatcher
	// repeats requests beyond it later.
	maxPermitRequests = 256
	// permitTimeoutMargin is added to the timeout of a request. It covers the transfer of
	// the request and the answer.
	permitTimeoutMargin = 700 * time.Millisecond
)

// queuePermitRequest queues a permit request, because the permit service handles only
// one request of an instance at a time. The lock must be held.
func (l *Leader) queuePermitRequest(request dispatch.RequestPermits) {
	select {
	case l.permitRequests <- request:
	default:
		l.options.Log.WithFields(logrus.Fields{"job": request.Step.Job, "step": request.Step.Step, "waiting": len(l.permitRequests)}).Warn("permit request queue is full; the request will be repeated")
		go l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.PermitsReceived(now, request, nil) })
	}
}

// permitLoop sends one queued permit request after another until the term ends.
func (l *Leader) permitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-l.permitRequests:
			grant := l.requestPermits(ctx, request)
			l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.PermitsReceived(now, request, grant) })
		}
	}
}

// requestPermits sends one request to the permit service. It returns nil if the
// service can't be asked or doesn't answer.
func (l *Leader) requestPermits(ctx context.Context, request dispatch.RequestPermits) *oleandervalve.PermitGrant {
	log := l.options.Log.WithFields(logrus.Fields{"job": request.Step.Job, "step": request.Step.Step, "executors": len(request.Executors)})
	if l.options.Permits == nil {
		log.Error("the queue needs placement permits, but the settings name no permit service: add its address")
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Timeout+permitTimeoutMargin)
	defer cancel()
	started := l.options.Clock.Now()
	grant, err := l.options.Permits.RequestPermits(callCtx, request.Step, request.Executors)
	took := l.options.Clock.Since(started)
	if err != nil {
		log.WithField("tookMs", took.Milliseconds()).WithError(err).Warn("permit request failed; it will be repeated")
		return nil
	}
	// The permit tokens are valid from when the service answered. The answer may have
	// been in flight for as long as the call took beyond the time to decide, so that
	// time is subtracted.
	grant.Validity -= max(0, took-request.Timeout)
	return &grant
}
