package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

const (
	// servingLoad is the share of their reserved processors that long-running tasks use. Their
	// declared demand is twice their use.
	servingLoad = 0.5
	// servingTarget is their target latency, and servingLatency the tail latency of the
	// contention model at servingLoad, in milliseconds.
	servingTarget  = 150
	servingLatency = 50
)

// submitLongRunning submits the long-running jobs of the load.
func (s *simulator) submitLongRunning(r *rand.Rand) {
	for _, c := range s.load.Classes {
		for i := range int(c.JobsPerSecond) {
			if !c.LongRunning {
				break
			}
			spec := work.Spec{Steps: []work.Step{{
				Count: int(c.TasksPerStep), LongRunning: true, Image: oleandervalve.KindName(c.Name), TargetLatency: servingTarget * time.Millisecond,
				Demand: oleandervalve.Resources{CPU: oleandervalve.Millicores(float64(c.CPU) * (0.75 + 0.5*r.Float64()))},
			}}}
			id := oleandervalve.JobID(fmt.Sprintf("%s-%03d", c.Name, i))
			s.dispatcher.Submit(s.now, dispatch.Submission{Token: dispatch.Token(2_000_000 + i), Job: id, Queue: c.Queue, Spec: spec})
		}
	}
}

// startLongRunning records a long-running task on its executor.
func (s *simulator) startLongRunning(a dispatch.Start) {
	s.latencyCritical[a.Agent] += a.Hints.CPU
	s.serving[a.Agent] = append(s.serving[a.Agent], contention.LatencySample{Job: a.Task.Job, Image: a.Hints.Image, TailLatency: servingLatency, Target: servingTarget})
	s.share(a.Agent)
}

// addUsage adds the long-running and best-effort tasks of an executor to a sample.
func (s *simulator) addUsage(id oleandervalve.AgentID, sample *contention.Sample) {
	sample.LatencyCritical = s.serving[id]
	for _, r := range s.onAgent[id] {
		if !r.bestEffort {
			continue
		}
		image := oleandervalve.KindName(s.jobs[r.task.Job].class.Name)
		i := slices.IndexFunc(sample.BestEffort, func(u contention.BestEffortUsage) bool { return u.Image == image })
		if i < 0 {
			i = len(sample.BestEffort)
			sample.BestEffort = append(sample.BestEffort, contention.BestEffortUsage{Image: image, SpeedLimit: int(100 * r.speed)})
		}
		sample.BestEffort[i].Used += oleandervalve.Millicores(float64(r.cpu) * r.speed)
	}
}

func (s *simulator) addRun(r *run) {
	s.onAgent[r.agent] = append(s.onAgent[r.agent], r)
	s.share(r.agent)
}

func (s *simulator) removeRun(r *run) {
	rs := s.onAgent[r.agent]
	if i := slices.Index(rs, r); i >= 0 {
		s.onAgent[r.agent] = slices.Delete(rs, i, i+1)
		s.share(r.agent)
	}
}

// share divides the processors that the other tasks of an executor leave among its best-effort
// runs, in proportion to their demand.
func (s *simulator) share(id oleandervalve.AgentID) {
	free, wanted := float64(s.load.Capacity)-servingLoad*float64(s.latencyCritical[id]), 0.0
	for _, r := range s.onAgent[id] {
		if r.bestEffort {
			wanted += float64(r.cpu)
		} else {
			free -= float64(r.cpu)
		}
	}
	// Agents keep a little for best-effort runs, so that these always make progress.
	speed := max(0.05, min(1, free/max(1, wanted)))
	for _, r := range s.onAgent[id] {
		if !r.bestEffort || r.speed == speed {
			continue
		}
		r.remaining -= time.Duration(float64(s.now.Sub(r.updatedAt)) * r.speed)
		r.speed, r.updatedAt = speed, s.now
		r.endsAt = s.now.Add(time.Duration(float64(max(0, r.remaining)) / speed))
		heap.Fix(&s.running, r.position)
	}
}

// handleReply handles the answer to a submission. A refused caller submits the job again after
// the time that it was told, in whole seconds, up to the number of retries of the load.
func (s *simulator) handleReply(r dispatch.Reply) {
	n := int(r.Token) - 1
	if n < 0 || n >= len(s.jobIDs) {
		return // the cancellation of a job, or a long-running one
	}
	j := s.jobs[s.jobIDs[n]]
	if r.Verdict != dispatch.NotRun {
		j.lastRefusal = dispatch.Reply{}
		return
	}
	j.lastRefusal = r
	switch {
	case j.attempts < s.load.MaxRetries:
		j.attempts++
		j.retryAt = s.now.Add((r.RetryAfter + time.Second - 1).Truncate(time.Second))
	default:
		j.refused = true
	}
}
