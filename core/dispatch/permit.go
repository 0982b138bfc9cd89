package dispatch

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// permitBatch is the maximum number of executors in one permit request. The permit
	// service needs time for each executor, and the requirements assume 30 per step.
	permitBatch = 30
	// permitMargin is the minimum remaining validity of a permit when a task is placed,
	// because committing the assignment and sending the Start take time.
	permitMargin = 400 * time.Millisecond
	// permitRetryDelay is the delay after a permit request without an answer.
	permitRetryDelay = 300 * time.Millisecond
)

// RequestPermits requests permits to run a step on executors. The answer is passed to
// PermitsReceived.
type RequestPermits struct {
	Step      oleandervalve.StepName
	Executors []oleandervalve.ExecutorID
	// Timeout limits the request itself, without the time that it waits behind other requests.
	Timeout time.Duration
}

func (RequestPermits) action() {}

// permit is the known permission of a step for one incarnation of an executor.
type permit struct {
	denied     bool
	token      string
	validUntil time.Time
}

// permits is the permit state of a step whose queue requires permits.
type permits struct {
	// known holds the answers to earlier requests by executor.
	known           map[oleandervalve.ExecutorID]permit
	requestInFlight bool
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt time.Time
}

func (s *step) needsPermits() bool { return s.job.rec.Queue.Permits.Required() }

// isPermitted reports whether the step may start on the executor of an agent.
func (s *step) isPermitted(a *agent, now time.Time) bool {
	if !s.needsPermits() {
		return true
	}
	p := s.permits.known[a.status.Incarnation.ID]
	return !p.denied && p.validUntil.Sub(now) >= permitMargin
}

// permitToken returns the token of the permit for the executor of an agent, or "".
func (s *step) permitToken(a *agent) string { return s.permits.known[a.status.Incarnation.ID].token }

// requestPermits requests permits for more executors, those with the most free capacity
// first. It is called after a placement that left tasks waiting, so the capacity of
// permitted executors is used before permits for others are requested.
func (d *Dispatcher) requestPermits(now time.Time, s *step) {
	if !s.needsPermits() || s.permits.requestInFlight || now.Before(s.permits.nextRequestAt) {
		return
	}
	var candidates []*agent
	for _, a := range d.sortedAgents {
		p, known := s.permits.known[a.status.Incarnation.ID]
		if p.denied || known && p.validUntil.Sub(now) >= permitMargin || !d.fitsWithoutPermit(s, a, now) {
			continue
		}
		candidates = append(candidates, a)
	}
	if len(candidates) == 0 {
		return
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].freeCPUShare() > candidates[j].freeCPUShare() })
	candidates = candidates[:min(len(candidates), permitBatch)]
	policy := s.job.rec.Queue.Permits
	r := RequestPermits{
		Step:    oleandervalve.StepName{Job: s.job.id, Occurrence: s.occurrence, Step: s.index},
		Timeout: policy.DecisionTime + time.Duration(len(candidates))*policy.TimePerExecutor,
	}
	for _, a := range candidates {
		r.Executors = append(r.Executors, a.status.Incarnation.ID)
	}
	s.permits.requestInFlight = true
	d.note("permitsAsked", s.job.id, map[string]any{"step": s.index, "executors": len(r.Executors), "known": len(s.permits.known), "left": len(s.waiting)})
	d.enqueueAction(r)
}

// PermitsReceived handles the answer to a permit request; a nil grant means that no answer
// was received.
func (d *Dispatcher) PermitsReceived(now time.Time, r RequestPermits, grant *oleandervalve.PermitGrant) {
	j := d.jobs[r.Step.Job]
	if j == nil {
		return
	}
	s := j.step(r.Step.Occurrence, r.Step.Step)
	if s == nil {
		return
	}
	s.permits.requestInFlight = false
	d.placementNeeded = true
	if grant == nil {
		s.permits.nextRequestAt = now.Add(permitRetryDelay)
		return
	}
	if s.permits.known == nil {
		s.permits.known = map[oleandervalve.ExecutorID]permit{}
	}
	for _, e := range r.Executors {
		s.permits.known[e] = permit{denied: true}
	}
	for _, p := range grant.Permits {
		s.permits.known[p.Executor] = permit{token: p.Token, validUntil: now.Add(grant.Validity)}
	}
	d.note("permitsGranted", j.id, map[string]any{"step": s.index, "asked": len(r.Executors), "granted": len(grant.Permits), "validMs": grant.Validity.Milliseconds()})
}

// dropPermit discards a permit whose token an executor has refused.
func (s *step) dropPermit(a *agent) { delete(s.permits.known, a.status.Incarnation.ID) }
