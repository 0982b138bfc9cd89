package executor

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/pacing"
	"oleandervalve/io/peer"
)

const (
	// idleWait is how long a look at the executor waits for an end; it also
	// bounds the time between two extensions of the lease.
	idleWait = time.Second
	// pacedWait replaces idleWait while best-effort tasks are co-located with
	// latency-critical tasks.
	pacedWait = 300 * time.Millisecond
	// listedWait is the longest pause between looks while ends wait for their
	// acknowledgement.
	listedWait = 40 * time.Millisecond
	// holdSlack is the time beyond the wait until a look is given up.
	holdSlack = 700 * time.Millisecond
)

// hold extends the lease, reports ended runs and throttles best-effort tasks until
// the session ends.
func (s *session) hold(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		now := s.agent.options.Clock.Now()
		s.mu.Lock()
		wait := idleWait
		if s.mixed() || len(s.stopped) > 0 || len(s.progress) > 0 {
			wait = pacedWait
		}
		if s.proofAt.IsZero() {
			wait = firstWait
		}
		request := oleandervalve.HoldRequest{Token: s.token, AcknowledgedEnd: s.lastSeen, LeaseUntil: s.leaseUntil(now), Wait: wait}
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, wait+holdSlack)
		h, err := s.agent.options.Executor.Hold(call, s.status.Incarnation.ID, request)
		cancel()
		if err != nil {
			if s.wrong(err) || ctx.Err() != nil {
				return
			}
			if !failing {
				s.log().WithError(err).Warn("executor is out of reach")
				failing = true
			}
			if s.expired() {
				s.log().Warn("executor's lease has ended without an answer; its runs are lost")
				s.lost()
				s.end("executor is out of reach beyond its lease")
				return
			}
			s.agent.pause(ctx)
			continue
		}
		if failing {
			s.log().Info("executor is back")
			failing = false
		}
		if h.Born != 0 && h.Born != s.status.Incarnation.Born {
			s.end("executor has a new incarnation")
			return
		}
		s.observe(ctx, now, h)
		if len(h.Ended) > 0 {
			// A look returns at once while ends are listed.
			select {
			case <-ctx.Done():
			case <-s.wakeHold:
			case <-s.agent.options.Clock.After(listedWait):
			}
		}
	}
}

// firstWait is the wait of the first look, until leadership is proved.
const firstWait = 20 * time.Millisecond

// expired reports whether the lease has ended for certain.
func (s *session) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent.options.Clock.Now().After(s.leaseEnd)
}

// mixed reports whether best-effort and latency-critical tasks are co-located; the
// lock is held.
func (s *session) mixed() bool {
	fills, serves := false, false
	for k := range s.running {
		t := s.traits[k]
		fills = fills || t.BestEffort
		serves = serves || t.TargetLatency > 0
	}
	return fills && serves
}

// observe takes one answer of the executor to a look sent at a time.
func (s *session) observe(ctx context.Context, sent time.Time, h oleandervalve.Holding) {
	sort.Slice(h.Ended, func(i, j int) bool { return h.Ended[i].Number < h.Ended[j].Number })
	ends := &peer.RunsEnded{Incarnation: s.status.Incarnation}
	s.mu.Lock()
	s.clock, s.clockAt = h.Clock, s.agent.options.Clock.Now()
	running := make(map[runKey]bool, len(h.Running))
	for _, r := range h.Running {
		k := runKey{r.Task, r.Run}
		running[k] = true
		s.noteSaved(k, r.Checkpoint)
	}
	s.listEnds(h.Ended)
	for _, e := range h.Ended {
		k := runKey{e.Task, e.Run}
		if e.Number > s.reported {
			s.reported = e.Number
			ends.Ends = append(ends.Ends, e)
		}
		delete(s.stopped, k)
		delete(s.traits, k)
		delete(s.paced, k)
		delete(s.saved, k)
		delete(s.unsent, k)
	}
	var voids []runKey
	for k, at := range s.stopped {
		if at.Before(sent) && !running[k] {
			delete(s.stopped, k)
			voids = append(voids, k)
		}
	}
	s.running = running
	orders := s.pace(h)
	s.mu.Unlock()
	if len(ends.Ends) > 0 {
		s.conn.TrySend(ends)
		for _, e := range ends.Ends {
			s.log().WithFields(logrus.Fields{"job": e.Task.Job, "task": e.Task.String(), "run": e.Run, "how": e.How, "number": e.Number}).Debug("run ended")
		}
	}
	for _, k := range voids {
		s.void(k, oleandervalve.RefusedOld)
	}
	for _, o := range orders {
		s.sendPace(ctx, o)
	}
}

// paceOrder is an order to set the speed limit of a run.
type paceOrder struct {
	key     runKey
	percent int
}

// pace decides the speed limits of the best-effort runs; the lock is held.
func (s *session) pace(h oleandervalve.Holding) []paceOrder {
	now := s.agent.options.Clock.Now()
	var tails []pacing.TailLatency
	var sample contention.Sample
	used := map[oleandervalve.KindName]oleandervalve.Millicores{}
	fills := map[oleandervalve.KindName][]runKey{}
	for _, r := range h.Running {
		k := runKey{r.Task, r.Run}
		t := s.traits[k]
		switch {
		case t.TargetLatency > 0:
			tails = append(tails, pacing.TailLatency{Image: t.Image, Latency: time.Duration(r.Load) * time.Millisecond, Target: t.TargetLatency})
			sample.LatencyCritical = append(sample.LatencyCritical, contention.LatencySample{Job: k.task.Job, Image: t.Image, TailLatency: r.Load, Target: t.TargetLatency.Milliseconds()})
		case t.BestEffort:
			fills[t.Image] = append(fills[t.Image], k)
			used[t.Image] += oleandervalve.Millicores(r.Load)
		}
	}
	var out []paceOrder
	for image, runs := range fills {
		p := s.pacer(image)
		before := p.SpeedLimit()
		percent := p.Observe(now, tails, func(serving oleandervalve.KindName) bool {
			return s.light[contention.Pair{BestEffort: image, LatencyCritical: serving}]
		})
		if percent != before {
			s.log().WithFields(logrus.Fields{"image": image, "percent": percent, "before": before, "fills": len(runs), "serving": len(tails)}).Info("pace changed")
		}
		for _, k := range runs {
			current, ok := s.paced[k]
			if !ok {
				current = pacing.Unthrottled
			}
			if current != percent {
				out = append(out, paceOrder{k, percent})
			}
		}
	}
	for i, u := range used {
		sample.BestEffort = append(sample.BestEffort, contention.BestEffortUsage{Image: i, Used: u, SpeedLimit: s.pacers[i].SpeedLimit()})
	}
	s.measureSpeed(now, h, &sample)
	s.sample = sample
	for image, p := range s.pacers {
		if len(fills[image]) == 0 {
			p.Observe(now, tails, func(oleandervalve.KindName) bool { return true })
		}
	}
	return out
}

// beginPace decides the initial speed limit of a best-effort run; the lock is held.
func (s *session) beginPace(k runKey) []paceOrder {
	t := s.traits[k]
	if !t.BestEffort {
		return nil
	}
	p := s.pacer(t.Image)
	p.LowerTo(s.agent.options.Clock.Now(), t.SpeedLimit)
	if p.SpeedLimit() == pacing.Unthrottled {
		return nil
	}
	return []paceOrder{{k, p.SpeedLimit()}}
}

// pacer returns the throttle controller of a best-effort image; the lock is held.
func (s *session) pacer(image oleandervalve.KindName) *pacing.Controller {
	p := s.pacers[image]
	if p == nil {
		p = pacing.New(s.agent.options.Pacing)
		s.pacers[image] = p
	}
	return p
}

func (s *session) sendPace(ctx context.Context, o paceOrder) {
	call, cancel := context.WithTimeout(ctx, firstOrderTimeout)
	defer cancel()
	err := s.agent.options.Executor.Pace(call, s.status.Incarnation.ID, o.key.task, o.key.run, o.percent, s.token)
	if err != nil {
		// The next look repeats the order.
		s.log().WithFields(logrus.Fields{"task": o.key.task.String(), "percent": o.percent}).WithError(err).Debug("pace is not confirmed")
		return
	}
	s.mu.Lock()
	s.paced[o.key] = o.percent
	s.mu.Unlock()
}
