package dispatch

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// askedAtOnce is how many executors one question names; the service takes time
	// for each, and the users reckon with thirty a step.
	askedAtOnce = 30
	// permitMargin is the validity that a ticket must have left when a start is
	// decided: a commit and an order follow.
	permitMargin = 400 * time.Millisecond
	// permitRetry is the pause after a question that was not answered.
	permitRetry = 300 * time.Millisecond
)

// AskPermits asks which executors may run a step; Permitted takes the answer.
type AskPermits struct {
	Step      oleandervalve.StepName
	Executors []oleandervalve.ExecutorID
	// Timeout bounds the question, without the time that it waits for others.
	Timeout time.Duration
}

func (AskPermits) action() {}

// permit is what is known of a step and one life of an executor.
type permit struct {
	denied bool
	ticket string
	until  time.Time
}

// permits are the permits of a step whose queue needs them.
type permits struct {
	known  map[oleandervalve.ExecutorID]permit
	asking bool
	// askAt is the earliest time of the next question.
	askAt time.Time
}

func (s *step) needsPermits() bool { return s.job.rec.Queue.Permits.Required() }

// isPermitted reports whether a step may start on the executor of an agent.
func (s *step) isPermitted(a *agent, now time.Time) bool {
	if !s.needsPermits() {
		return true
	}
	p := s.permits.known[a.status.Incarnation.ID]
	return !p.denied && p.until.Sub(now) >= permitMargin
}

// ticket returns the ticket for a start on the executor of an agent, or "".
func (s *step) ticket(a *agent) string { return s.permits.known[a.status.Incarnation.ID].ticket }

// askPermits asks for more executors for a step that has tasks left, those
// with the most room first. It answers the load in which a queue's policy
// allows few executors: the room of those that are allowed is used before
// others are asked for.
func (d *Dispatcher) askPermits(now time.Time, s *step) {
	if !s.needsPermits() || s.permits.asking || now.Before(s.permits.askAt) {
		return
	}
	var candidates []*agent
	for _, a := range d.ordered {
		p, known := s.permits.known[a.status.Incarnation.ID]
		if p.denied || known && p.until.Sub(now) >= permitMargin || !d.hasRoom(s, a, now) {
			continue
		}
		candidates = append(candidates, a)
	}
	if len(candidates) == 0 {
		return
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].free() > candidates[j].free() })
	candidates = candidates[:min(len(candidates), askedAtOnce)]
	policy := s.job.rec.Queue.Permits
	q := AskPermits{
		Step:    oleandervalve.StepName{Job: s.job.id, Occurrence: s.occ, Step: s.index},
		Timeout: policy.Decide + time.Duration(len(candidates))*policy.PerExecutor,
	}
	for _, a := range candidates {
		q.Executors = append(q.Executors, a.status.Incarnation.ID)
	}
	s.permits.asking = true
	d.note("permitsAsked", s.job.id, map[string]any{"step": s.index, "executors": len(q.Executors), "known": len(s.permits.known), "left": len(s.waiting)})
	d.act(q)
}

// Permitted takes the answer to a question; a nil grant means that there is none.
func (d *Dispatcher) Permitted(now time.Time, q AskPermits, g *oleandervalve.PermitGrant) {
	j := d.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil {
		return
	}
	s.permits.asking = false
	d.stale = true
	if g == nil {
		s.permits.askAt = now.Add(permitRetry)
		return
	}
	if s.permits.known == nil {
		s.permits.known = map[oleandervalve.ExecutorID]permit{}
	}
	for _, e := range q.Executors {
		s.permits.known[e] = permit{denied: true}
	}
	for _, p := range g.Permits {
		s.permits.known[p.Executor] = permit{ticket: p.Ticket, until: now.Add(g.Valid)}
	}
	d.note("permitsGranted", j.id, map[string]any{"step": s.index, "asked": len(q.Executors), "granted": len(g.Permits), "validMs": g.Valid.Milliseconds()})
}

// dropPermit forgets a ticket that an executor has refused.
func (s *step) dropPermit(a *agent) { delete(s.permits.known, a.status.Incarnation.ID) }
