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
	// Ready workers get new work.
	Ready State = "ready"
	// Suspect workers are silent; they get no new work and keep what they have.
	Suspect State = "suspect"
	// Draining workers are about to be replaced; their work moves away.
	Draining State = "draining"
	// Quarantined workers fail what they start and get nothing but probes.
	Quarantined State = "quarantined"
	// Gone workers have ended.
	Gone State = "gone"
)

// Config sets the limits of placement.
type Config struct {
	// StartCap is the number of starts that a worker gets within StartWindow,
	// which bounds how much a worker that fails everything takes from the queue.
	// The default is twice the average of 690 starts/s over 700 workers; a worker
	// with a failure since its last success gets one.
	StartCap    int
	StartWindow time.Duration
	// ServiceLimit is the expected slowdown of a service above which no batch
	// task is added beside it, unless the task is urgent.
	ServiceLimit float64
	// Candidates bounds the number of workers that are scored in one decision.
	Candidates int
	// Checked bounds the workers with free capacity that are compared with the
	// other constraints in one decision; the next decision continues from there.
	Checked int
	// Weights weigh the parts of a score.
	Weights Weights
}

// Weights weigh the parts of a placement score against each other.
type Weights struct {
	// ServiceSlowdown and BatchSlowdown weigh the expected extra slowdown.
	ServiceSlowdown, BatchSlowdown float64
	// ServiceSpread and BatchSpread weigh the share of the job in the same data centre and rack.
	ServiceSpread, BatchSpread float64
	// Move weighs the distance from the last attempt of the task.
	Move float64
	// Accelerator is the penalty for occupying a worker whose free accelerators are not needed.
	Accelerator float64
	// Load weighs the processor load of the worker.
	Load float64
}

// DefaultConfig returns the settings that the measurements use.
func DefaultConfig() Config {
	return Config{
		StartCap: 20, StartWindow: 10 * time.Second, ServiceLimit: 1.18, Candidates: 192, Checked: 384,
		Weights: Weights{
			ServiceSlowdown: 4, BatchSlowdown: 1, ServiceSpread: 4, BatchSpread: 0.2,
			Move: 0.2, Accelerator: 0.3, Load: 0.1,
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
	// Reserved is the sum of the sizes of the residents.
	Reserved  oleandervalve.Resources
	Residents []*Resident
	// Response is the state of the reaction to slow services.
	Response interference.Response
	// GuardedAt is the time of the last action of the memory guard.
	GuardedAt time.Time
	// HeldFor is the job for which capacity that gets free is kept; other
	// batch jobs are not placed here meanwhile.
	HeldFor oleandervalve.JobID
	// StartCap, if positive, replaces the start cap of the configuration.
	StartCap int

	slot      int
	mix       []interference.Neighbour
	selective []*Spec // of residents with Beside or NotBeside
	expected  expectation
	history   []snapshot
	starts    int
	startsAt  time.Time
	levels    [3]int8
}

// Free returns what the placement may still reserve.
func (w *Worker) Free() oleandervalve.Resources { return w.Capacity.Sub(w.Reserved) }

// Load returns the reserved share of the processors.
func (w *Worker) Load() float64 {
	if w.Capacity.CPU <= 0 {
		return 1
	}
	return float64(w.Reserved.CPU) / float64(w.Capacity.CPU)
}

// Mix returns the residents grouped by kind.
func (w *Worker) Mix() []interference.Neighbour { return w.mix }

type spread struct {
	tasks       int
	dataCentres map[oleandervalve.DataCentreID]int
	racks       map[oleandervalve.RackID]int
}

// Fleet is an entry's view of all workers, their residents and reservations.
type Fleet struct {
	config  Config
	model   *interference.Model
	slots   []*Worker // nil where a worker has gone
	unused  []int
	byID    map[oleandervalve.WorkerID]*Worker
	tasks   map[oleandervalve.TaskID]*Resident
	jobs    map[oleandervalve.JobID]*spread
	index   *index
	match   *matcher
	total   oleandervalve.Resources
	changes uint64
	turn    int // moves the start of a search on after one that gave up
}

// NewFleet returns a view without workers.
func NewFleet(c Config, m *interference.Model) *Fleet {
	return &Fleet{
		config: c, model: m, byID: map[oleandervalve.WorkerID]*Worker{},
		tasks: map[oleandervalve.TaskID]*Resident{}, jobs: map[oleandervalve.JobID]*spread{}, index: newIndex(), match: newMatcher(),
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

// Changes counts the changes of workers that may make an infeasible job feasible.
func (f *Fleet) Changes() uint64 { return f.changes }

// Worker returns a worker, or nil if there is none with the id.
func (f *Fleet) Worker(id oleandervalve.WorkerID) *Worker { return f.byID[id] }

// Resident returns a task with a reservation, or nil if it has none.
func (f *Fleet) Resident(id oleandervalve.TaskID) *Resident { return f.tasks[id] }

// Workers calls visit for every worker in a fixed order until it returns false.
func (f *Fleet) Workers(visit func(w *Worker) bool) {
	for _, w := range f.slots {
		if w != nil && !visit(w) {
			return
		}
	}
}

// Update adds a worker, or changes the labels, location and capacity of a known one.
func (f *Fleet) Update(id oleandervalve.WorkerID, loc oleandervalve.Location, l labels.Set, capacity oleandervalve.Resources) *Worker {
	f.changes++
	w := f.byID[id]
	if w == nil {
		w = &Worker{ID: id, State: Ready, Location: loc}
		if n := len(f.unused); n > 0 {
			w.slot = f.unused[n-1]
			f.unused = f.unused[:n-1]
			f.slots[w.slot] = w
		} else {
			w.slot = len(f.slots)
			f.slots = append(f.slots, w)
		}
		f.byID[id] = w
	}
	if w.Location != loc {
		for _, r := range w.Residents {
			f.count(r.Spec, w.Location, -1)
			f.count(r.Spec, loc, 1)
		}
	}
	f.total = f.total.Sub(w.Capacity).Add(capacity)
	w.Location, w.Labels, w.Capacity = loc, l, capacity
	f.index.relabel(w)
	f.refresh(w)
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

// Remove drops a worker that is confirmed gone and returns the tasks that it had.
func (f *Fleet) Remove(id oleandervalve.WorkerID) []*Resident {
	w := f.byID[id]
	if w == nil {
		return nil
	}
	lost := w.Residents
	w.Residents = nil
	for _, r := range lost {
		delete(f.tasks, r.ID)
		f.count(r.Spec, w.Location, -1)
	}
	w.State = Gone
	f.index.remove(w)
	f.total = f.total.Sub(w.Capacity)
	f.slots[w.slot] = nil
	f.unused = append(f.unused, w.slot)
	delete(f.byID, id)
	f.changes++
	return lost
}

// NoRoomError reports a reservation that the placement's own view does not allow.
type NoRoomError struct {
	Worker oleandervalve.WorkerID
	Task   oleandervalve.TaskID
	Remedy string
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("worker %q can't take task %q: %s", string(e.Worker), string(e.Task), e.Remedy)
}

// Reserve reserves a size for a task on a worker; *NoRoomError if it does not
// fit or the task has a reservation already.
func (f *Fleet) Reserve(t Task, id oleandervalve.WorkerID, size oleandervalve.Resources, now time.Time) (*Resident, error) {
	w := f.byID[id]
	switch {
	case w == nil:
		return nil, &NoRoomError{id, t.ID, "the worker is gone; place the task again"}
	case f.tasks[t.ID] != nil:
		return nil, &NoRoomError{id, t.ID, "the task has a reservation; release it first"}
	case size.IsNegative() || !size.Fits(w.Free()):
		return nil, &NoRoomError{id, t.ID, "too little is free; place the task again"}
	}
	r := f.adopt(t, w, size, now)
	w.noteStart(f.config, now)
	return r, nil
}

// Adopt records a task that is found running on a worker, whether or not it
// fits, as after the restart of an entry.
func (f *Fleet) Adopt(t Task, id oleandervalve.WorkerID, size oleandervalve.Resources, now time.Time) (*Resident, error) {
	w := f.byID[id]
	if w == nil || f.tasks[t.ID] != nil {
		return nil, &NoRoomError{id, t.ID, "the worker is unknown or the task has a reservation; resolve the task record first"}
	}
	r := f.adopt(t, w, size, now)
	r.Running = true
	return r, nil
}

func (f *Fleet) adopt(t Task, w *Worker, size oleandervalve.Resources, now time.Time) *Resident {
	r := &Resident{Task: t, Worker: w, Size: size, Share: 1, SavedAt: now}
	w.Residents = append(w.Residents, r)
	f.tasks[t.ID] = r
	f.count(t.Spec, w.Location, 1)
	f.changed(w, now)
	return r
}

// Start records that a reserved task runs.
func (f *Fleet) Start(id oleandervalve.TaskID, now time.Time) {
	if r := f.tasks[id]; r != nil && !r.Running {
		r.Running, r.SavedAt = true, now
	}
}

// Release ends the reservation of a task and returns it, or nil if it has none.
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
	f.count(r.Spec, w.Location, -1)
	if r.LatencyCritical {
		w.Response.Forget(id)
	}
	f.changed(w, now)
	return r
}

// Resize changes the reserved size of a task towards what it is expected to
// use and returns the size reserved. Growth is cut to what the worker has free,
// so that the sum never exceeds the capacity.
func (f *Fleet) Resize(id oleandervalve.TaskID, size oleandervalve.Resources) oleandervalve.Resources {
	r := f.tasks[id]
	if r == nil {
		return oleandervalve.Resources{}
	}
	room := r.Worker.Free().Add(r.Size)
	// A worker that is over its capacity already may not grow, but need not shrink.
	size.CPU = min(size.CPU, max(room.CPU, r.Size.CPU))
	size.Memory = min(size.Memory, max(room.Memory, r.Size.Memory))
	size.Accelerators = r.Size.Accelerators
	if r.Size != size {
		r.Size = size
		f.refresh(r.Worker)
	}
	return size
}

// SetShare records the throttle share of a task.
func (f *Fleet) SetShare(id oleandervalve.TaskID, share float64, now time.Time) {
	if r := f.tasks[id]; r != nil {
		r.Share, r.SharedAt = float32(share), now
		f.changed(r.Worker, now)
	}
}

func (f *Fleet) count(s *Spec, loc oleandervalve.Location, by int) {
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

// changed brings a worker up to date after its residents or their shares changed.
func (f *Fleet) changed(w *Worker, now time.Time) {
	w.mix = w.mix[:0]
	clear(w.selective)
	w.selective = w.selective[:0]
	w.expected.at = time.Time{}
	for _, r := range w.Residents {
		k := f.model.Kind(r.Kind)
		if r.Beside != nil || r.NotBeside != nil {
			w.selective = append(w.selective, r.Spec)
		}
		i := 0
		for i < len(w.mix) && (w.mix[i].Kind != k || w.mix[i].LatencyCritical != r.LatencyCritical) {
			i++
		}
		if i == len(w.mix) {
			w.mix = append(w.mix, interference.Neighbour{Kind: k, LatencyCritical: r.LatencyCritical})
		}
		w.mix[i].Tasks++
		w.mix[i].Weight += r.Share
	}
	f.refresh(w)
	w.remember(now)
}

// refresh recomputes the reserved amount. It exceeds the capacity only after
// an adopted task or a capacity that has shrunk.
func (f *Fleet) refresh(w *Worker) {
	var sum oleandervalve.Resources
	for _, r := range w.Residents {
		sum = sum.Add(r.Size)
	}
	w.Reserved = sum
	f.index.update(w)
}

func (w *Worker) noteStart(c Config, now time.Time) {
	if now.Sub(w.startsAt) >= c.StartWindow {
		w.starts, w.startsAt = 0, now
	}
	w.starts++
}

func (w *Worker) mayStart(c Config, now time.Time) bool {
	limit := c.StartCap
	if w.StartCap > 0 {
		limit = w.StartCap
	}
	return w.starts < limit || now.Sub(w.startsAt) >= c.StartWindow
}
