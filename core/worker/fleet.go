package worker

import (
	"fmt"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
	"oleandervalve/core/interference"
)

// State is the state of a worker as seen by an entry.
type State string

const (
	// Ready workers accept new tasks.
	Ready State = "ready"
	// Suspect workers have missed heartbeats; they get no new tasks and keep those
	// that they run.
	Suspect State = "suspect"
	// Draining workers are about to be replaced; their tasks migrate to others.
	Draining State = "draining"
	// Evacuated workers are in an evacuated data centre; they get no new tasks.
	Evacuated State = "evacuated"
	// Quarantined workers fail the tasks that they start; they get probe tasks only.
	Quarantined State = "quarantined"
	// Terminated workers run nothing any more, as the platform has confirmed.
	Terminated State = "gone"
)

// Config configures the placement of tasks.
type Config struct {
	// StartCap is the maximum number of starts on a worker within StartWindow. It
	// bounds how many tasks a worker that fails all of them takes from the queue.
	// The default is twice the average of 690 starts/s over 700 workers; a worker
	// with a failure since its last success gets one.
	StartCap    int
	StartWindow time.Duration
	// MaxLatencyCriticalSlowdown is the expected slowdown of a latency-critical
	// task up to which batch tasks may be co-located with it; urgent tasks are
	// exempt.
	MaxLatencyCriticalSlowdown float64
	// MaxCandidates is the maximum number of workers that are scored in one decision.
	MaxCandidates int
	// MaxChecked is the maximum number of workers with free capacity for which the
	// other constraints are checked in one decision; the next decision continues
	// from there.
	MaxChecked int
	// Weights are the weights of the parts of a score.
	Weights Weights
}

// Weights are the weights of the parts of a placement score.
type Weights struct {
	// LatencyCriticalSlowdown and BatchSlowdown apply to the expected extra slowdown
	// of latency-critical and batch tasks.
	LatencyCriticalSlowdown, BatchSlowdown float64
	// LatencyCriticalSpread and BatchSpread apply to the share of the job's tasks in
	// the same data centre and rack.
	LatencyCriticalSpread, BatchSpread float64
	// Migration applies to the distance from where the task's last attempt ran.
	Migration float64
	// Accelerator applies to the share of the worker's accelerators that are free,
	// if the task needs none.
	Accelerator float64
	// Load applies to the processor load of the worker.
	Load float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		StartCap: 20, StartWindow: 10 * time.Second, MaxLatencyCriticalSlowdown: 1.18, MaxCandidates: 192, MaxChecked: 384,
		Weights: Weights{
			LatencyCriticalSlowdown: 4, BatchSlowdown: 1, LatencyCriticalSpread: 4, BatchSpread: 0.2,
			Migration: 0.2, Accelerator: 0.3, Load: 0.1,
		},
	}
}

// Worker is an entry's view of one worker.
type Worker struct {
	ID       oleandervalve.WorkerID
	Location oleandervalve.Location
	Labels   labels.Set
	Capacity oleandervalve.Resources
	State    State
	// Reserved is the sum of the sizes of Residents.
	Reserved  oleandervalve.Resources
	Residents []*Resident
	// Response tracks slow latency-critical tasks and the actions against interference.
	Response interference.Response
	// MemoryGuardActedAt is the time of the last action of the memory guard.
	MemoryGuardActedAt time.Time
	// EarmarkedFor is the job for which the worker is earmarked: capacity that
	// becomes free is kept for it, and no tasks of other batch jobs are placed here
	// unless they are urgent.
	EarmarkedFor oleandervalve.JobID
	// StartCap, if positive, overrides Config.StartCap.
	StartCap int

	// slot is the worker's index in Fleet.slots and in the bitsets of the index.
	slot             int
	mix              []interference.KindGroup
	withAffinity     []*Spec // of residents with Beside or NotBeside
	slowdowns        slowdownCache
	history          []snapshot
	starts           int
	startWindowBegin time.Time
	freeLevels       [3]int8 // levels of the free processor, memory and accelerator capacity in the index
}

// Free returns the capacity that is not reserved.
func (w *Worker) Free() oleandervalve.Resources { return w.Capacity.Sub(w.Reserved) }

// Load returns the share of the processor capacity that is reserved.
func (w *Worker) Load() float64 {
	if w.Capacity.CPU <= 0 {
		return 1
	}
	return float64(w.Reserved.CPU) / float64(w.Capacity.CPU)
}

// Mix returns the residents grouped by kind and by whether they are latency-critical.
func (w *Worker) Mix() []interference.KindGroup { return w.mix }

// spread counts the placed tasks of one job by location.
type spread struct {
	tasks       int
	dataCentres map[oleandervalve.DataCentreID]int
	racks       map[oleandervalve.RackID]int
}

// Fleet is an entry's view of all workers and the tasks with a reservation on them.
type Fleet struct {
	config          Config
	model           *interference.Model
	slots           []*Worker // nil for unused slots
	freeSlots       []int
	byID            map[oleandervalve.WorkerID]*Worker
	tasks           map[oleandervalve.TaskID]*Resident
	jobs            map[oleandervalve.JobID]*spread
	index           *index
	selectorMatcher *matcher
	total           oleandervalve.Resources
	changes         uint64
	searchOffset    int // added to the first slot of a search, so that it continues where one stopped at MaxChecked
}

// NewFleet returns a fleet without workers.
func NewFleet(c Config, m *interference.Model) *Fleet {
	return &Fleet{
		config: c, model: m, byID: map[oleandervalve.WorkerID]*Worker{},
		tasks: map[oleandervalve.TaskID]*Resident{}, jobs: map[oleandervalve.JobID]*spread{}, index: newIndex(), selectorMatcher: newMatcher(),
	}
}

// Model returns the interference model that the scores use.
func (f *Fleet) Model() *interference.Model { return f.model }

// Total returns the capacity of all workers.
func (f *Fleet) Total() oleandervalve.Resources { return f.total }

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.byID) }

// Tasks returns the number of residents of all workers.
func (f *Fleet) Tasks() int { return len(f.tasks) }

// Changes returns the number of changes to workers so far, each of which may have
// made an infeasible job feasible.
func (f *Fleet) Changes() uint64 { return f.changes }

// Worker returns the worker with the given id, or nil if there is none.
func (f *Fleet) Worker(id oleandervalve.WorkerID) *Worker { return f.byID[id] }

// Resident returns the task with the given id, or nil if it has no reservation.
func (f *Fleet) Resident(id oleandervalve.TaskID) *Resident { return f.tasks[id] }

// Workers calls visit for each worker in a fixed order until visit returns false.
func (f *Fleet) Workers(visit func(w *Worker) bool) {
	for _, w := range f.slots {
		if w != nil && !visit(w) {
			return
		}
	}
}

// Update adds a worker or changes the location, labels and capacity of a known one.
func (f *Fleet) Update(id oleandervalve.WorkerID, loc oleandervalve.Location, l labels.Set, capacity oleandervalve.Resources) *Worker {
	f.changes++
	w := f.byID[id]
	if w == nil {
		w = &Worker{ID: id, State: Ready, Location: loc}
		if n := len(f.freeSlots); n > 0 {
			w.slot = f.freeSlots[n-1]
			f.freeSlots = f.freeSlots[:n-1]
			f.slots[w.slot] = w
		} else {
			w.slot = len(f.slots)
			f.slots = append(f.slots, w)
		}
		f.byID[id] = w
	}
	if w.Location != loc {
		for _, r := range w.Residents {
			f.adjustSpread(r.Spec, w.Location, -1)
			f.adjustSpread(r.Spec, loc, 1)
		}
	}
	f.total = f.total.Sub(w.Capacity).Add(capacity)
	w.Location, w.Labels, w.Capacity = loc, l, capacity
	f.index.updateLabels(w)
	f.updateReserved(w)
	return w
}

// SetState changes the state of a worker.
func (f *Fleet) SetState(id oleandervalve.WorkerID, s State) {
	w := f.byID[id]
	if w == nil || w.State == s {
		return
	}
	f.changes++
	w.State = s
	f.index.update(w)
}

// Remove removes a worker that is confirmed to have terminated and returns the
// tasks that had a reservation on it.
func (f *Fleet) Remove(id oleandervalve.WorkerID) []*Resident {
	w := f.byID[id]
	if w == nil {
		return nil
	}
	residents := w.Residents
	w.Residents = nil
	for _, r := range residents {
		delete(f.tasks, r.ID)
		f.adjustSpread(r.Spec, w.Location, -1)
	}
	w.State = Terminated
	f.index.remove(w)
	f.total = f.total.Sub(w.Capacity)
	f.slots[w.slot] = nil
	f.freeSlots = append(f.freeSlots, w.slot)
	delete(f.byID, id)
	f.changes++
	return residents
}

// ReservationError reports a reservation that the fleet's view does not allow.
type ReservationError struct {
	Worker oleandervalve.WorkerID
	Task   oleandervalve.TaskID
	Remedy string
}

func (e *ReservationError) Error() string {
	return fmt.Sprintf("worker %q can't take task %q: %s", string(e.Worker), string(e.Task), e.Remedy)
}

// Reserve reserves a size for a task on a worker. It returns a *ReservationError
// if the worker is unknown, the size does not fit or the task already has a
// reservation.
func (f *Fleet) Reserve(t Task, id oleandervalve.WorkerID, size oleandervalve.Resources, now time.Time) (*Resident, error) {
	w := f.byID[id]
	switch {
	case w == nil:
		return nil, &ReservationError{id, t.ID, "the worker is gone; place the task again"}
	case f.tasks[t.ID] != nil:
		return nil, &ReservationError{id, t.ID, "the task has a reservation; release it first"}
	case size.IsNegative() || !size.Fits(w.Free()):
		return nil, &ReservationError{id, t.ID, "too little is free; place the task again"}
	}
	r := f.addResident(t, w, size, now)
	w.recordStart(f.config, now)
	return r, nil
}

// Adopt records a task that already runs on a worker, for example after a restart
// of the entry, whether or not its size fits.
func (f *Fleet) Adopt(t Task, id oleandervalve.WorkerID, size oleandervalve.Resources, now time.Time) (*Resident, error) {
	w := f.byID[id]
	if w == nil || f.tasks[t.ID] != nil {
		return nil, &ReservationError{id, t.ID, "the worker is unknown or the task has a reservation; resolve the task record first"}
	}
	r := f.addResident(t, w, size, now)
	r.Running = true
	return r, nil
}

// addResident adds a task to a worker without checking the free capacity.
func (f *Fleet) addResident(t Task, w *Worker, size oleandervalve.Resources, now time.Time) *Resident {
	r := &Resident{Task: t, Worker: w, Size: size, Share: 1, CheckpointedAt: now}
	w.Residents = append(w.Residents, r)
	f.tasks[t.ID] = r
	f.adjustSpread(t.Spec, w.Location, 1)
	f.updateResidents(w, now)
	return r
}

// Start records that a task with a reservation has started to run.
func (f *Fleet) Start(id oleandervalve.TaskID, now time.Time) {
	if r := f.tasks[id]; r != nil && !r.Running {
		r.Running, r.CheckpointedAt = true, now
	}
}

// Release ends the reservation of a task and returns the task, or nil if it has no reservation.
func (f *Fleet) Release(id oleandervalve.TaskID, now time.Time) *Resident {
	r := f.tasks[id]
	if r == nil {
		return nil
	}
	w := r.Worker
	delete(f.tasks, id)
	for i := range w.Residents {
		if w.Residents[i] == r {
			w.Residents = append(w.Residents[:i], w.Residents[i+1:]...)
			break
		}
	}
	f.adjustSpread(r.Spec, w.Location, -1)
	if r.LatencyCritical {
		w.Response.RemoveTask(id)
	}
	f.updateResidents(w, now)
	return r
}

// Resize changes the reserved size of a task to the expected usage and returns
// the reserved size. Growth is limited to the free capacity of the worker, so that
// the sum never exceeds the capacity.
func (f *Fleet) Resize(id oleandervalve.TaskID, size oleandervalve.Resources) oleandervalve.Resources {
	r := f.tasks[id]
	if r == nil {
		return oleandervalve.Resources{}
	}
	available := r.Worker.Free().Add(r.Size)
	// On a worker whose capacity is already exceeded, tasks may not grow, but need
	// not shrink.
	size.CPU = min(size.CPU, max(available.CPU, r.Size.CPU))
	size.Memory = min(size.Memory, max(available.Memory, r.Size.Memory))
	size.Accelerators = r.Size.Accelerators
	if r.Size != size {
		r.Size = size
		f.updateReserved(r.Worker)
	}
	return size
}

// SetCPUShare records the processor share to which a task is throttled.
func (f *Fleet) SetCPUShare(id oleandervalve.TaskID, share float64, now time.Time) {
	if r := f.tasks[id]; r != nil {
		r.Share, r.ShareChangedAt = float32(share), now
		f.updateResidents(r.Worker, now)
	}
}

// adjustSpread adds by, 1 or -1, to the counts of a job at a location. The spread
// of a job with a single task is not tracked.
func (f *Fleet) adjustSpread(s *Spec, loc oleandervalve.Location, by int) {
	if s.Tasks < 2 {
		return
	}
	j := f.jobs[s.Job]
	if j == nil {
		j = &spread{dataCentres: map[oleandervalve.DataCentreID]int{}, racks: map[oleandervalve.RackID]int{}}
		f.jobs[s.Job] = j
	}
	j.tasks += by
	j.dataCentres[loc.DataCentre] += by
	j.racks[loc.Rack] += by
	if j.tasks == 0 {
		delete(f.jobs, s.Job)
	}
}

// updateResidents recomputes what is derived from the residents of a worker, after
// the residents or their shares have changed.
func (f *Fleet) updateResidents(w *Worker, now time.Time) {
	w.mix = w.mix[:0]
	clear(w.withAffinity)
	w.withAffinity = w.withAffinity[:0]
	w.slowdowns.at = time.Time{}
	for _, r := range w.Residents {
		k := f.model.Kind(r.Kind)
		if r.Beside != nil || r.NotBeside != nil {
			w.withAffinity = append(w.withAffinity, r.Spec)
		}
		i := 0
		for i < len(w.mix) && (w.mix[i].Kind != k || w.mix[i].LatencyCritical != r.LatencyCritical) {
			i++
		}
		if i == len(w.mix) {
			w.mix = append(w.mix, interference.KindGroup{Kind: k, LatencyCritical: r.LatencyCritical})
		}
		w.mix[i].Tasks++
		w.mix[i].EffectiveCount += r.Share
	}
	f.updateReserved(w)
	w.recordSnapshot(now)
}

// updateReserved recomputes the reserved resources. They exceed the capacity only
// if a task was adopted that does not fit or the capacity has shrunk.
func (f *Fleet) updateReserved(w *Worker) {
	var sum oleandervalve.Resources
	for _, r := range w.Residents {
		sum = sum.Add(r.Size)
	}
	w.Reserved = sum
	f.index.update(w)
}

// recordStart counts a start in the current window, or in a new one if it has ended.
func (w *Worker) recordStart(c Config, now time.Time) {
	if now.Sub(w.startWindowBegin) >= c.StartWindow {
		w.starts, w.startWindowBegin = 0, now
	}
	w.starts++
}

// canStart reports whether the start cap permits another start in the current window.
func (w *Worker) canStart(c Config, now time.Time) bool {
	limit := c.StartCap
	if w.StartCap > 0 {
		limit = w.StartCap
	}
	return w.starts < limit || now.Sub(w.startWindowBegin) >= c.StartWindow
}
