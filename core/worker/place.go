package worker

import (
	"hash/fnv"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/interference"
)

// Constraint names a reason for which a worker can't take a task.
type Constraint string

const (
	// NotReady excludes workers that are suspect, draining or quarantined.
	NotReady Constraint = "state"
	// WhereSelector excludes workers whose labels are not selected.
	WhereSelector Constraint = "where"
	// TotalCapacity excludes workers that are too small even when empty.
	TotalCapacity Constraint = "totalCapacity"
	// BesideSelector excludes workers because of the tasks that they run.
	BesideSelector Constraint = "beside"
	// Held excludes workers whose next free capacity is kept for another job.
	Held Constraint = "held"
	// FreeCapacity excludes workers that have too little free now.
	FreeCapacity Constraint = "freeCapacity"
	// ServiceSlowdown excludes workers whose services would become too slow.
	ServiceSlowdown Constraint = "serviceSlowdown"
	// StartRate excludes workers that have reached their start-rate cap.
	StartRate Constraint = "startRate"
)

// constraints is the order in which constraints are checked and reported.
var constraints = []Constraint{NotReady, WhereSelector, TotalCapacity, BesideSelector, ServiceSlowdown, Held, FreeCapacity, StartRate}

// Choice is the worker chosen for a task.
type Choice struct {
	Worker *Worker
	// Score is the weighted cost; lower is better.
	Score float64
	// Slowdown is the expected extra slowdown of the task itself.
	Slowdown float64
	// Scored is the number of workers compared.
	Scored int
}

// Choose returns the best worker for a task of the size; false if none was
// found that can take it now.
func (f *Fleet) Choose(t Task, size oleandervalve.Resources, now time.Time) (Choice, bool) {
	return f.choose(t, size, now, nil)
}

// ChooseOther is Choose without one worker, as when a task moves away from it.
func (f *Fleet) ChooseOther(t Task, size oleandervalve.Resources, not *Worker, now time.Time) (Choice, bool) {
	return f.choose(t, size, now, not)
}

func (f *Fleet) choose(t Task, size oleandervalve.Resources, now time.Time, not *Worker) (Choice, bool) {
	set := f.index.candidates(t.Spec, size)
	n := len(f.slots)
	kind := f.model.Kind(t.Kind)
	job := f.jobs[t.Job]
	best := Choice{}
	checked := 0
	// Slots are visited in strides, so that the scored part of a large fleet
	// covers all racks; the start depends on the task, so that load spreads.
	stride := strideOf(n)
	slot := 0
	if n > 0 {
		slot = (int(hash(string(t.ID))%uint32(n)) + f.turn) % n
	}
	for i := 0; i < n && best.Scored < f.config.Candidates; i++ {
		slot += stride
		if slot >= n {
			slot -= n
		}
		if !set.has(slot) {
			continue
		}
		w := f.slots[slot]
		// The cheap checks come first; most workers of a full fleet end here.
		if w == nil || w == not || !size.Fits(w.Free()) || !w.mayStart(f.config, now) {
			continue
		}
		if checked++; checked > f.config.Checked {
			f.turn = (f.turn + i*stride) % n
			break
		}
		if _, ok := f.check(w, t.Spec, kind, size, now); !ok {
			continue
		}
		score, slow := f.score(w, &t, kind, size, job)
		best.Scored++
		if best.Worker == nil || score < best.Score || score == best.Score && w.ID < best.Worker.ID {
			best.Worker, best.Score, best.Slowdown = w, score, slow
		}
	}
	return best, best.Worker != nil
}

// strideOf returns a step near the golden ratio of n that reaches every slot.
func strideOf(n int) int {
	if n < 3 {
		return 1
	}
	s := n * 618 / 1000
	for s < n && gcd(s, n) != 1 {
		s++
	}
	return s
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// FirstFit returns the first worker that has the size free and meets the
// selectors, without regard to interference and spread. It is the baseline.
func (f *Fleet) FirstFit(t Task, size oleandervalve.Resources, now time.Time) (Choice, bool) {
	set := f.index.candidates(t.Spec, size)
	for slot, w := range f.slots {
		if w == nil || !set.has(slot) || !size.Fits(w.Free()) || !f.besideAllows(w, t.Spec) || !w.mayStart(f.config, now) {
			continue
		}
		return Choice{Worker: w, Scored: 1}, true
	}
	return Choice{}, false
}

// Allows reports whether a worker that is not ready could take a task
// otherwise, as a probe of a quarantined worker.
func (f *Fleet) Allows(w *Worker, t Task, size oleandervalve.Resources) bool {
	return (t.Where == nil || t.Where.Matches(w.Labels)) && size.Fits(w.Free()) && f.besideAllows(w, t.Spec)
}

// Constraints returns all constraints in the order in which they are checked.
func Constraints() []Constraint { return slices.Clone(constraints) }

// Check returns the first constraint that excludes a worker for a task; true if there is none.
func (f *Fleet) Check(w *Worker, t Task, size oleandervalve.Resources, now time.Time) (Constraint, bool) {
	return f.check(w, t.Spec, f.model.Kind(t.Kind), size, now)
}

// check returns the first constraint that excludes a worker.
func (f *Fleet) check(w *Worker, s *Spec, kind interference.Kind, size oleandervalve.Resources, now time.Time) (Constraint, bool) {
	switch {
	case w.State != Ready:
		return NotReady, false
	case s.Where != nil && !f.index.where(s).has(w.slot):
		return WhereSelector, false
	case !size.Fits(w.Capacity):
		return TotalCapacity, false
	case !f.besideAllows(w, s):
		return BesideSelector, false
	case !s.LatencyCritical && !s.Urgent && !f.servicesAllow(w, kind, size, now):
		return ServiceSlowdown, false
	case w.HeldFor != "" && w.HeldFor != s.Job && !s.LatencyCritical && !s.Urgent:
		return Held, false
	case !size.Fits(w.Free()):
		// Checked after everything that evictions of batch work would not change.
		return FreeCapacity, false
	case !w.mayStart(f.config, now):
		return StartRate, false
	}
	return "", true
}

// besideAllows checks the selectors of the newcomer against the residents and the reverse.
func (f *Fleet) besideAllows(w *Worker, s *Spec) bool {
	for _, o := range w.selective {
		if !f.match.agrees(o, s) {
			return false
		}
	}
	if s.Beside == nil && s.NotBeside == nil {
		return true
	}
	for _, r := range w.Residents {
		if !f.match.agrees(s, r.Spec) {
			return false
		}
	}
	return true
}

func levelWith(w *Worker, size oleandervalve.Resources) interference.Level {
	if w.Capacity.CPU <= 0 {
		return interference.LevelOf(1)
	}
	return interference.LevelOf(float64(w.Reserved.CPU+size.CPU) / float64(w.Capacity.CPU))
}

// expectation is the expected extra slowdown of the services of a worker at
// one load level, by position in the mix.
type expectation struct {
	at    time.Time
	level interference.Level
	extra []float32
}

// expectationAge bounds how long an expectation is used while the residents
// stay the same; the model changes little meanwhile.
const expectationAge = 5 * time.Second

func (f *Fleet) expect(w *Worker, l interference.Level, now time.Time) []float32 {
	e := &w.expected
	if e.at.IsZero() || e.level != l || now.Sub(e.at) >= expectationAge {
		e.at, e.level, e.extra = now, l, e.extra[:0]
		for i := range w.mix {
			var x float64
			if w.mix[i].LatencyCritical {
				x = f.model.Expected(w.mix[i].Kind, w.mix, l)
			}
			e.extra = append(e.extra, float32(x))
		}
	}
	return e.extra
}

// servicesAllow reports whether every service on the worker is expected to
// stay below the limit with the newcomer.
func (f *Fleet) servicesAllow(w *Worker, kind interference.Kind, size oleandervalve.Resources, now time.Time) bool {
	l := levelWith(w, size)
	extra := f.expect(w, l, now)
	for i := range w.mix {
		if w.mix[i].LatencyCritical && 1+float64(extra[i])+f.model.Effect(w.mix[i].Kind, kind, l) > f.config.ServiceLimit {
			return false
		}
	}
	return true
}

// avoidPenalty exceeds every ordinary score.
const avoidPenalty = 1000

// score returns the cost of a worker for a task and the expected extra slowdown of the task.
func (f *Fleet) score(w *Worker, t *Task, kind interference.Kind, size oleandervalve.Resources, job *spread) (float64, float64) {
	c := &f.config.Weights
	l := levelWith(w, size)
	var own, services, batch float64
	for i := range w.mix {
		n := &w.mix[i]
		own += float64(n.Weight) * f.model.Effect(kind, n.Kind, l)
		if e := float64(n.Tasks) * f.model.Effect(n.Kind, kind, l); n.LatencyCritical {
			services += e
		} else {
			batch += e
		}
	}
	ownWeight, spreadWeight := c.BatchSlowdown, c.BatchSpread
	if t.LatencyCritical {
		ownWeight, spreadWeight = c.ServiceSlowdown, c.ServiceSpread
	}
	score := c.ServiceSlowdown*services + c.BatchSlowdown*batch + ownWeight*own
	if job != nil && job.tasks > 0 {
		// The share of the job that one loss would take; the data centre weighs
		// double, since its loss also takes the rack.
		tasks := float64(max(t.Tasks, job.tasks))
		score += spreadWeight * (2*float64(job.dataCentres[w.Location.DataCentre]) + float64(job.racks[w.Location.Rack])) / tasks
	}
	if t.Avoid == w.ID {
		score += avoidPenalty
	}
	if t.From != nil {
		score += c.Move * distance(*t.From, w.Location)
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += c.Accelerator * float64(w.Capacity.Accelerators-w.Reserved.Accelerators) / float64(w.Capacity.Accelerators)
	}
	return score + c.Load*w.Load(), own
}

// distance orders how far a checkpoint has to travel.
func distance(a, b oleandervalve.Location) float64 {
	switch {
	case a.Region != b.Region:
		return 1
	case a.DataCentre != b.DataCentre:
		return 0.2
	case a.Rack != b.Rack:
		return 0.05
	}
	return 0
}

// Excluded is the number of workers that a constraint excludes. Each worker
// counts for the first constraint that excludes it.
type Excluded struct {
	Constraint Constraint `json:"constraint"`
	Workers    int        `json:"workers"`
}

// Diagnosis explains on how many workers a task could run.
type Diagnosis struct {
	Workers  int        `json:"workers"`
	Possible int        `json:"possible"`
	Excluded []Excluded `json:"excluded,omitempty"`
	// Infeasible means that lasting constraints exclude every worker.
	Infeasible bool `json:"infeasible"`
	// Main is the constraint that excludes the most workers; for an infeasible
	// task it is a lasting one.
	Main Constraint `json:"main,omitempty"`
	// Size is the size that was looked for.
	Size oleandervalve.Resources `json:"size"`
}

// Diagnose checks a task against every worker.
func (f *Fleet) Diagnose(t Task, size oleandervalve.Resources, now time.Time) Diagnosis {
	d := Diagnosis{Size: size}
	counts := map[Constraint]int{}
	lasting := map[Constraint]int{}
	excluded := 0
	kind := f.model.Kind(t.Kind)
	for _, w := range f.slots {
		if w == nil {
			continue
		}
		d.Workers++
		if c := f.lasting(w, t.Spec, size); c != "" {
			lasting[c]++
			excluded++
		}
		if c, ok := f.check(w, t.Spec, kind, size, now); ok {
			d.Possible++
		} else {
			counts[c]++
		}
	}
	// A worker that is not ready may return, so a job is infeasible only if the
	// selector and the total capacity exclude all workers whatever their state.
	d.Infeasible = d.Workers > 0 && excluded == d.Workers
	if d.Infeasible {
		counts = lasting
	}
	most := 0
	for _, c := range constraints {
		n := counts[c]
		if n == 0 {
			continue
		}
		d.Excluded = append(d.Excluded, Excluded{c, n})
		if n > most {
			most, d.Main = n, c
		}
	}
	return d
}

// lasting returns the constraint that only a change of the worker itself can lift.
func (f *Fleet) lasting(w *Worker, s *Spec, size oleandervalve.Resources) Constraint {
	switch {
	case s.Where != nil && !f.index.where(s).has(w.slot):
		return WhereSelector
	case !size.Fits(w.Capacity):
		return TotalCapacity
	}
	return ""
}

// Infeasible reports whether no worker could ever take the task as the workers are now.
func (f *Fleet) Infeasible(t Task, size oleandervalve.Resources) bool {
	for _, w := range f.slots {
		if w != nil && f.lasting(w, t.Spec, size) == "" {
			return false
		}
	}
	// An empty view says nothing about the job.
	return len(f.byID) > 0
}
