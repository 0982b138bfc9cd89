package worker

import (
	"hash/fnv"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/interference"
)

// Constraint is a reason why a worker can't take a task.
type Constraint string

const (
	// NotReady excludes workers that are suspect, draining or quarantined.
	NotReady Constraint = "state"
	// Evacuating excludes workers of an evacuated data centre.
	Evacuating Constraint = "evacuating"
	// WorkerSelector excludes workers whose labels don't match the Where selector.
	WorkerSelector Constraint = "where"
	// TotalCapacity excludes workers that are too small even when empty.
	TotalCapacity Constraint = "totalCapacity"
	// TaskAffinity excludes workers on which the Beside and NotBeside selectors of
	// the task or of a resident forbid co-location.
	TaskAffinity Constraint = "beside"
	// Earmarked excludes workers that are earmarked for another job.
	Earmarked Constraint = "held"
	// FreeCapacity excludes workers that have too little free capacity now.
	FreeCapacity Constraint = "freeCapacity"
	// LatencyCriticalSlowdown excludes workers whose latency-critical tasks would
	// exceed Config.MaxLatencyCriticalSlowdown.
	LatencyCriticalSlowdown Constraint = "serviceSlowdown"
	// StartRate excludes workers that have reached their start cap.
	StartRate Constraint = "startRate"
)

// constraints lists all constraints in the order in which they are checked and reported.
var constraints = []Constraint{NotReady, Evacuating, WorkerSelector, TotalCapacity, TaskAffinity, LatencyCriticalSlowdown, Earmarked, FreeCapacity, StartRate}

// Choice is the worker chosen for a task.
type Choice struct {
	Worker *Worker
	// Score is the weighted cost; lower is better.
	Score float64
	// Slowdown is the expected extra slowdown of the task itself.
	Slowdown float64
	// Scored is the number of workers that were scored.
	Scored int
}

// Choose returns the best worker for a task of the size; false if none was
// found that can take it now.
func (f *Fleet) Choose(t Task, size oleandervalve.Resources, now time.Time) (Choice, bool) {
	return f.choose(t, size, now, nil)
}

// ChooseExcluding is like Choose but excludes one worker, such as the one from
// which a task migrates.
func (f *Fleet) ChooseExcluding(t Task, size oleandervalve.Resources, excluded *Worker, now time.Time) (Choice, bool) {
	return f.choose(t, size, now, excluded)
}

// choose returns the best worker for a task; excluded may be nil.
func (f *Fleet) choose(t Task, size oleandervalve.Resources, now time.Time, excluded *Worker) (Choice, bool) {
	candidateSlots := f.index.candidates(t.Spec, size)
	n := len(f.slots)
	kind := f.model.Kind(t.Kind)
	job := f.jobs[t.Job]
	best := Choice{}
	checked := 0
	// Slots are visited in strides, so that the workers scored in a large fleet are
	// from all racks. The first slot depends on the task, to spread the load.
	stride := strideOf(n)
	slot := 0
	if n > 0 {
		slot = (int(hash(string(t.ID))%uint32(n)) + f.searchOffset) % n
	}
	for i := 0; i < n && best.Scored < f.config.MaxCandidates; i++ {
		slot += stride
		if slot >= n {
			slot -= n
		}
		if !candidateSlots.has(slot) {
			continue
		}
		w := f.slots[slot]
		// The cheap checks come first; they exclude most workers of a full fleet.
		if w == nil || w == excluded || !size.Fits(w.Free()) || !w.canStart(f.config, now) {
			continue
		}
		if checked++; checked > f.config.MaxChecked {
			f.searchOffset = (f.searchOffset + i*stride) % n
			break
		}
		if _, ok := f.check(w, t.Spec, kind, size, now); !ok {
			continue
		}
		score, slowdown := f.score(w, &t, kind, size, job)
		best.Scored++
		if best.Worker == nil || score < best.Score || score == best.Score && w.ID < best.Worker.ID {
			best.Worker, best.Score, best.Slowdown = w, score, slowdown
		}
	}
	return best, best.Worker != nil
}

// strideOf returns a step near n divided by the golden ratio with which all n
// slots are visited.
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

// FirstFit returns the first worker that has the size free, satisfies the selectors
// and has not reached its start cap. It ignores interference and spread and is the
// baseline for comparisons.
func (f *Fleet) FirstFit(t Task, size oleandervalve.Resources, now time.Time) (Choice, bool) {
	candidateSlots := f.index.candidates(t.Spec, size)
	for slot, w := range f.slots {
		if w == nil || !candidateSlots.has(slot) || !size.Fits(w.Free()) || !f.affinityAllows(w, t.Spec) || !w.canStart(f.config, now) {
			continue
		}
		return Choice{Worker: w, Scored: 1}, true
	}
	return Choice{}, false
}

// AllowsProbe reports whether the selectors and the free capacity of a worker
// allow a task as a probe. The worker's state and the other constraints are not
// checked, so that a quarantined worker can take a probe.
func (f *Fleet) AllowsProbe(w *Worker, t Task, size oleandervalve.Resources) bool {
	return (t.Where == nil || t.Where.Matches(w.Labels)) && size.Fits(w.Free()) && f.affinityAllows(w, t.Spec)
}

// Constraints returns all constraints in the order in which they are checked.
func Constraints() []Constraint { return slices.Clone(constraints) }

// Check returns the first constraint that excludes a worker for a task, and true
// if there is none.
func (f *Fleet) Check(w *Worker, t Task, size oleandervalve.Resources, now time.Time) (Constraint, bool) {
	return f.check(w, t.Spec, f.model.Kind(t.Kind), size, now)
}

// check is like Check but takes the model's kind of the task.
func (f *Fleet) check(w *Worker, s *Spec, kind interference.Kind, size oleandervalve.Resources, now time.Time) (Constraint, bool) {
	switch {
	case w.State == Evacuated:
		return Evacuating, false
	case w.State != Ready:
		return NotReady, false
	case s.Where != nil && !f.index.selectedWorkers(s).has(w.slot):
		return WorkerSelector, false
	case !size.Fits(w.Capacity):
		return TotalCapacity, false
	case !f.affinityAllows(w, s):
		return TaskAffinity, false
	case !s.LatencyCritical && !s.Urgent && !f.latencyCriticalAllow(w, kind, size, now):
		return LatencyCriticalSlowdown, false
	case w.EarmarkedFor != "" && w.EarmarkedFor != s.Job && !s.LatencyCritical && !s.Urgent:
		return Earmarked, false
	case !size.Fits(w.Free()):
		// Checked late, so that FreeCapacity means that, apart from the start rate,
		// only capacity is missing and evicting batch tasks can help.
		return FreeCapacity, false
	case !w.canStart(f.config, now):
		return StartRate, false
	}
	return "", true
}

// affinityAllows checks the Beside and NotBeside selectors of a new task against
// the residents, and those of the residents against the new task.
func (f *Fleet) affinityAllows(w *Worker, s *Spec) bool {
	for _, o := range w.withAffinity {
		if !f.selectorMatcher.allows(o, s) {
			return false
		}
	}
	if s.Beside == nil && s.NotBeside == nil {
		return true
	}
	for _, r := range w.Residents {
		if !f.selectorMatcher.allows(s, r.Spec) {
			return false
		}
	}
	return true
}

// levelAfterAdding returns the load level of a worker once the size is reserved on it.
func levelAfterAdding(w *Worker, size oleandervalve.Resources) interference.Level {
	if w.Capacity.CPU <= 0 {
		return interference.LevelOf(1)
	}
	return interference.LevelOf(float64(w.Reserved.CPU+size.CPU) / float64(w.Capacity.CPU))
}

// slowdownCache caches the expected extra slowdown of the latency-critical tasks
// of a worker at one load level, by position in the mix.
type slowdownCache struct {
	at    time.Time
	level interference.Level
	extra []float32
}

// slowdownCacheMaxAge bounds the age of a slowdownCache while the residents stay
// the same; in this time the model changes little.
const slowdownCacheMaxAge = 5 * time.Second

// expectedSlowdowns returns the expected extra slowdown of each group in the mix of
// a worker at a load level; 0 for batch tasks. It uses the worker's cache.
func (f *Fleet) expectedSlowdowns(w *Worker, l interference.Level, now time.Time) []float32 {
	e := &w.slowdowns
	if e.at.IsZero() || e.level != l || now.Sub(e.at) >= slowdownCacheMaxAge {
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

// latencyCriticalAllow reports whether the expected slowdown of every
// latency-critical task on the worker stays within the limit with the new task.
func (f *Fleet) latencyCriticalAllow(w *Worker, kind interference.Kind, size oleandervalve.Resources, now time.Time) bool {
	l := levelAfterAdding(w, size)
	extra := f.expectedSlowdowns(w, l, now)
	for i := range w.mix {
		if w.mix[i].LatencyCritical && 1+float64(extra[i])+f.model.Effect(w.mix[i].Kind, kind, l) > f.config.MaxLatencyCriticalSlowdown {
			return false
		}
	}
	return true
}

// avoidPenalty is added to the score of the worker on which the task last failed.
// It exceeds every other score.
const avoidPenalty = 1000

// score returns the weighted cost of placing a task on a worker and the expected
// extra slowdown of the task.
func (f *Fleet) score(w *Worker, t *Task, kind interference.Kind, size oleandervalve.Resources, job *spread) (float64, float64) {
	c := &f.config.Weights
	l := levelAfterAdding(w, size)
	var ownSlowdown, latencyCritical, batch float64
	for i := range w.mix {
		n := &w.mix[i]
		ownSlowdown += float64(n.EffectiveCount) * f.model.Effect(kind, n.Kind, l)
		if e := float64(n.Tasks) * f.model.Effect(n.Kind, kind, l); n.LatencyCritical {
			latencyCritical += e
		} else {
			batch += e
		}
	}
	ownWeight, spreadWeight := c.BatchSlowdown, c.BatchSpread
	if t.LatencyCritical {
		ownWeight, spreadWeight = c.LatencyCriticalSlowdown, c.LatencyCriticalSpread
	}
	score := c.LatencyCriticalSlowdown*latencyCritical + c.BatchSlowdown*batch + ownWeight*ownSlowdown
	if job != nil && job.tasks > 0 {
		// The share of the job that one failure would affect; the data centre counts
		// double, since its failure includes that of the rack.
		tasks := float64(max(t.Tasks, job.tasks))
		score += spreadWeight * (2*float64(job.dataCentres[w.Location.DataCentre]) + float64(job.racks[w.Location.Rack])) / tasks
	}
	if t.LastFailedWorker == w.ID {
		score += avoidPenalty
	}
	if t.LastLocation != nil {
		score += c.Migration * distance(*t.LastLocation, w.Location)
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += c.Accelerator * float64(w.Capacity.Accelerators-w.Reserved.Accelerators) / float64(w.Capacity.Accelerators)
	}
	return score + c.Load*w.Load(), ownSlowdown
}

// distance returns a relative cost of transferring a checkpoint from a to b.
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

// Excluded is the number of workers that a constraint excludes. Each worker is
// counted once, for the first constraint that excludes it.
type Excluded struct {
	Constraint Constraint `json:"constraint"`
	Workers    int        `json:"workers"`
}

// Diagnosis explains why a task can or can't run on the workers.
type Diagnosis struct {
	Workers int `json:"workers"`
	// Possible is the number of workers that can take the task now.
	Possible int        `json:"possible"`
	Excluded []Excluded `json:"excluded,omitempty"`
	// Infeasible means that permanent constraints exclude every worker.
	Infeasible bool `json:"infeasible"`
	// Main is the constraint that excludes the most workers; for an infeasible
	// task it is a permanent one.
	Main Constraint `json:"main,omitempty"`
	// Size is the size that the task needs.
	Size oleandervalve.Resources `json:"size"`
}

// Diagnose checks a task against every worker.
func (f *Fleet) Diagnose(t Task, size oleandervalve.Resources, now time.Time) Diagnosis {
	d := Diagnosis{Size: size}
	counts := map[Constraint]int{}
	permanent := map[Constraint]int{}
	excluded := 0
	kind := f.model.Kind(t.Kind)
	for _, w := range f.slots {
		if w == nil {
			continue
		}
		d.Workers++
		if c := f.permanentConstraint(w, t.Spec, size); c != "" {
			permanent[c]++
			excluded++
		}
		if c, ok := f.check(w, t.Spec, kind, size, now); ok {
			d.Possible++
		} else {
			counts[c]++
		}
	}
	// A worker that is not ready may become ready again, so a job is infeasible only
	// if the Where selector and the total capacity exclude all workers in any state.
	d.Infeasible = d.Workers > 0 && excluded == d.Workers
	if d.Infeasible {
		counts = permanent
	}
	maxExcluded := 0
	for _, c := range constraints {
		n := counts[c]
		if n == 0 {
			continue
		}
		d.Excluded = append(d.Excluded, Excluded{c, n})
		if n > maxExcluded {
			maxExcluded, d.Main = n, c
		}
	}
	return d
}

// permanentConstraint returns the first constraint that excludes a worker and can
// be lifted only by a change of its labels or capacity; empty if there is none.
func (f *Fleet) permanentConstraint(w *Worker, s *Spec, size oleandervalve.Resources) Constraint {
	switch {
	case s.Where != nil && !f.index.selectedWorkers(s).has(w.slot):
		return WorkerSelector
	case !size.Fits(w.Capacity):
		return TotalCapacity
	}
	return ""
}

// Infeasible reports whether no worker could take the task with its present labels
// and capacity, even when empty and ready.
func (f *Fleet) Infeasible(t Task, size oleandervalve.Resources) bool {
	for _, w := range f.slots {
		if w != nil && f.permanentConstraint(w, t.Spec, size) == "" {
			return false
		}
	}
	// Without workers, nothing can be said about the job.
	return len(f.byID) > 0
}
