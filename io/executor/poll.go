package executor

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/crash"
	"oleandervalve/core/leasebound"
	"oleandervalve/core/pacing"
	"oleandervalve/io/peer"
)

const (
	// idlePollWait is how long a poll of the executor waits for a run to end. It also
	// limits the time between two extensions of the lease.
	idlePollWait = time.Second
	// activePollWait replaces idlePollWait while best-effort tasks are co-located with
	// latency-critical tasks, while the outcome of a stop is unknown, and while the
	// speed of runs is measured.
	activePollWait = 300 * time.Millisecond
	// unacknowledgedPollDelay is the maximum delay between polls while the leader has
	// not acknowledged all listed ends.
	unacknowledgedPollDelay = 40 * time.Millisecond
	// pollTimeoutMargin is added to the wait of a poll to get the timeout of the call.
	pollTimeoutMargin = 700 * time.Millisecond
)

// maxSilence is how long an executor may give no answer until polls extend its lease no further.
// Each of them may reach it, so the lease of one whose answers don't arrive would never certainly
// end, and no task of it could start elsewhere.
const maxSilence = 2 * time.Second

// maxSilence returns how long the executor may give no answer until polls extend its lease no
// further. s.mu must be held.
func (s *session) maxSilence() time.Duration {
	if s.unansweredAt.After(s.executorAskedAt) {
		return leasebound.PollDelay
	}
	return maxSilence
}

// pollLoop polls the executor until the session ends. Each poll extends the lease,
// reports ended runs and updates the speed limits of best-effort tasks.
func (s *session) pollLoop(ctx context.Context) {
	defer s.agent.endPolling(s)
	failing, refusals, unreadable := false, 0, 0
	for ctx.Err() == nil {
		now := s.agent.options.Clock.Now()
		s.mu.Lock()
		wait := idlePollWait
		if s.hasColocatedRuns() || len(s.confirmedStops) > 0 || len(s.progress) > 0 {
			wait = activePollWait
		}
		if s.proofAt.IsZero() || s.unconfirmed {
			wait = initialPollWait
		}
		acknowledged := s.beginAcknowledgement(now)
		if acknowledged > 0 {
			wait = 0 // start orders wait for the answer
		}
		request := oleandervalve.PollRequest{Token: s.token, AcknowledgedEnd: acknowledged, Wait: wait}
		if now.Sub(s.clockAt) < s.maxSilence() && !s.replaced {
			request.LeaseUntil = s.leaseUntil(s.agent.options.now())
		}
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, wait+pollTimeoutMargin)
		result, err := s.agent.options.Executor.Poll(call, s.status.Incarnation.ID, request)
		cancel()
		if err != nil {
			if s.endIfReplaced(err) || ctx.Err() != nil {
				return
			}
			s.setUnconfirmed()
			s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.Silent(now, s.status.Incarnation) })
			if !failing {
				s.log().WithError(err).Warn("executor is unreachable")
				failing = true
			}
			if !isNotListening(err) {
				refusals = 0
			} else if refusals++; refusals >= refusalsOfEnded && s.executorEnded() {
				return
			}
			if s.leaseExpired() {
				s.log().Warn("executor is unreachable and its lease has expired; reporting its runs as terminated")
				s.reportLost()
				s.conn.Shutdown() // the end of the session must not overtake the report
				s.end("executor has been unreachable until its lease expired")
				return
			}
			s.awaitRetry(ctx)
			continue
		}
		if failing {
			s.log().Info("executor is reachable again")
			failing = false
		}
		refusals = 0
		if result.StartedAt != 0 && result.StartedAt != s.status.Incarnation.StartedAt {
			s.agent.recordPolledStart(result.StartedAt)
			s.end("executor has a new incarnation")
			return
		}
		s.agent.crashes.update(func(l *crash.Log, now time.Time) { l.Answered(now, s.status.Incarnation, result) })
		if result.Unreadable != unreadable {
			unreadable = result.Unreadable
			s.log().WithField("entries", unreadable).Warn("entries of the executor's lists can't be read and are left out")
			s.agent.options.Scope.Counter("unreadable_entries").Inc(int64(unreadable))
		}
		s.applyPollResult(ctx, now, result)
		if acknowledged > 0 {
			s.mu.Lock()
			s.acknowledgedAt = s.agent.options.Clock.Now()
			s.resumeStarts()
			s.mu.Unlock()
		}
		if len(result.Ended) > 0 || result.Unreadable > 0 {
			// The executor answers at once while its list of ends is not empty; the
			// delay prevents a busy loop.
			select {
			case <-ctx.Done():
			case <-s.wakePoll:
			case <-s.agent.options.Clock.After(unacknowledgedPollDelay):
			}
		}
	}
}

// initialPollWait is the wait of polls until the leader has proved its leadership,
// before which they can't extend the lease, and until the executor has named its incarnation.
const initialPollWait = 20 * time.Millisecond

// leaseExpired reports whether the executor's lease has certainly expired.
func (s *session) leaseExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent.options.Clock.Now().After(s.leaseBound.End)
}

// hasColocatedRuns reports whether the executor runs both best-effort and
// latency-critical tasks. s.mu must be held.
func (s *session) hasColocatedRuns() bool {
	bestEffort, latencyCritical := false, false
	for k := range s.running {
		hints := s.hints[k]
		bestEffort = bestEffort || hints.BestEffort
		latencyCritical = latencyCritical || hints.TargetLatency > 0
	}
	return bestEffort && latencyCritical
}

// applyPollResult handles the executor's answer to a poll that was sent at sentAt.
func (s *session) applyPollResult(ctx context.Context, sentAt time.Time, result oleandervalve.PollResult) {
	sort.Slice(result.Ended, func(i, j int) bool { return result.Ended[i].Number < result.Ended[j].Number })
	ends := &peer.RunsEnded{Incarnation: s.status.Incarnation}
	s.mu.Lock()
	s.clock, s.clockAt = result.Clock, s.agent.options.Clock.Now()
	s.unconfirmed, s.executorAskedAt = false, sentAt
	running := make(map[runKey]bool, len(result.Running))
	for _, r := range result.Running {
		k := runKey{r.Task, r.Run}
		running[k] = true
		s.recordCheckpoint(k, r.Checkpoint)
	}
	s.updateListedEnds(result.Ended)
	for _, e := range result.Ended {
		k := runKey{e.Task, e.Run}
		if e.Number > s.lastReportedEnd {
			s.lastReportedEnd = e.Number
			ends.Ends = append(ends.Ends, e)
		}
		delete(s.confirmedStops, k)
		delete(s.hints, k)
		delete(s.speedLimits, k)
		delete(s.checkpoints, k)
		delete(s.unsentCheckpoints, k)
	}
	var neverStarted []runKey
	for k, at := range s.confirmedStops {
		// A run that is in neither list may be among the ends that are not listed yet, or begin in the
		// next incarnation.
		if at.Before(sentAt) && !running[k] && !result.Incomplete && !s.agent.unanswered.isLate(k) {
			delete(s.confirmedStops, k)
			neverStarted = append(neverStarted, k)
		}
	}
	s.running = running
	ends.Complete = s.inventoryIncomplete && !result.Incomplete
	s.inventoryIncomplete = s.inventoryIncomplete && result.Incomplete
	orders := s.updateSpeedLimits(result)
	s.mu.Unlock()
	if len(ends.Ends) > 0 || ends.Complete {
		s.sendEnds(*ends)
		for _, e := range ends.Ends {
			s.log().WithFields(logrus.Fields{"job": e.Task.Job, "task": e.Task.String(), "run": e.Run, "how": e.How, "number": e.Number}).Debug("run ended")
		}
	}
	for _, k := range neverStarted {
		s.reportNeverStarted(k, oleandervalve.RefusedOld)
	}
	for _, o := range orders {
		s.sendSpeedLimit(ctx, o)
	}
}

// sendEnds sends ended runs to the leader, in as many messages as needed.
func (s *session) sendEnds(m peer.RunsEnded) {
	for {
		part := m
		n := peer.EndsThatFit(m.Ends)
		part.Ends, m.Ends = m.Ends[:n], m.Ends[n:]
		part.Complete = m.Complete && len(m.Ends) == 0
		s.report(&part)
		if len(m.Ends) == 0 {
			return
		}
	}
}

// maxSampled limits the runs and the jobs in a sample, so that it fits into a message.
const maxSampled = 200

// speedLimitOrder sets the speed limit of a run.
type speedLimitOrder struct {
	key     runKey
	percent int
}

// updateSpeedLimits updates the throttle controllers and the contention sample from
// the executor's answer, and returns the orders for runs whose speed limit differs
// from that of their controller. s.mu must be held.
func (s *session) updateSpeedLimits(result oleandervalve.PollResult) []speedLimitOrder {
	now := s.agent.options.Clock.Now()
	var latencies []pacing.TailLatency
	var sample contention.Sample
	used := map[oleandervalve.KindName]oleandervalve.Millicores{}
	bestEffort := map[oleandervalve.KindName][]runKey{}
	for _, r := range result.Running {
		k := runKey{r.Task, r.Run}
		hints := s.hints[k]
		switch {
		case hints.TargetLatency > 0:
			latencies = append(latencies, pacing.TailLatency{Image: hints.Image, Latency: time.Duration(r.Load) * time.Millisecond, Target: hints.TargetLatency})
			sample.LatencyCritical = append(sample.LatencyCritical, contention.LatencySample{Job: k.task.Job, Image: hints.Image, TailLatency: r.Load, Target: hints.TargetLatency.Milliseconds()})
		case hints.BestEffort:
			bestEffort[hints.Image] = append(bestEffort[hints.Image], k)
			used[hints.Image] += oleandervalve.Millicores(r.Load)
		}
	}
	var orders []speedLimitOrder
	for image, runs := range bestEffort {
		p := s.controller(image)
		before := p.SpeedLimit()
		percent := p.Observe(now, latencies, func(latencyCritical oleandervalve.KindName) bool {
			return s.nonInterfering[contention.Pair{BestEffort: image, LatencyCritical: latencyCritical}]
		})
		if percent != before {
			s.log().WithFields(logrus.Fields{"image": image, "percent": percent, "before": before, "fills": len(runs), "serving": len(latencies)}).Info("pace changed")
		}
		for _, k := range runs {
			current, ok := s.speedLimits[k]
			if !ok {
				current = pacing.Unthrottled
			}
			if current != percent {
				orders = append(orders, speedLimitOrder{k, percent})
			}
		}
	}
	for image, u := range used {
		sample.BestEffort = append(sample.BestEffort, contention.BestEffortUsage{Image: image, Used: u, SpeedLimit: s.controllers[image].SpeedLimit()})
	}
	s.measureSpeed(now, result, &sample)
	sample.LatencyCritical = sample.LatencyCritical[:min(len(sample.LatencyCritical), maxSampled)]
	sample.JobSpeeds = sample.JobSpeeds[:min(len(sample.JobSpeeds), maxSampled)]
	s.sample = sample
	for image, p := range s.controllers {
		if len(bestEffort[image]) == 0 {
			p.Observe(now, latencies, func(oleandervalve.KindName) bool { return true })
		}
	}
	return orders
}

// initialSpeedLimit returns the order to throttle a run that has just started, if it
// is a best-effort run that must be throttled. s.mu must be held.
func (s *session) initialSpeedLimit(k runKey) []speedLimitOrder {
	hints := s.hints[k]
	if !hints.BestEffort {
		return nil
	}
	p := s.controller(hints.Image)
	p.LowerTo(s.agent.options.Clock.Now(), hints.SpeedLimit)
	if p.SpeedLimit() == pacing.Unthrottled {
		return nil
	}
	return []speedLimitOrder{{k, p.SpeedLimit()}}
}

// controller returns the throttle controller of a best-effort image and creates it if
// necessary. s.mu must be held.
func (s *session) controller(image oleandervalve.KindName) *pacing.Controller {
	p := s.controllers[image]
	if p == nil {
		p = pacing.New(s.agent.options.Pacing)
		s.controllers[image] = p
	}
	return p
}

func (s *session) sendSpeedLimit(ctx context.Context, o speedLimitOrder) {
	s.mu.Lock()
	// The executor may carry the order out without an answer.
	s.speedLimits[o.key] = unknownSpeedLimit
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, initialOrderTimeout)
	defer cancel()
	err := s.agent.options.Executor.SetSpeedLimit(call, s.status.Incarnation.ID, o.key.task, o.key.run, o.percent, s.token)
	if err != nil {
		// The next poll repeats the order.
		s.log().WithFields(logrus.Fields{"task": o.key.task.String(), "percent": o.percent}).WithError(err).Debug("speed limit not confirmed; the next poll repeats it")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.speedLimits[o.key]; ok {
		s.speedLimits[o.key] = o.percent
	}
}
