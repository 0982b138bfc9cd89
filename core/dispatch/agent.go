package dispatch

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// runKey identifies one run of a task.
type runKey struct {
	task oleandervalve.TaskName
	run  oleandervalve.RunNumber
}

// run is a run that occupies an executor until its end is known.
type run struct {
	step  *step
	index int
	size  oleandervalve.Resources
	// ordered means that the start order has been given to the process.
	ordered  bool
	stopping bool
	// resumed means that the run began from a checkpoint.
	resumed bool
	startAt time.Time
}

// agent is the view of one agent and the executor beside it.
type agent struct {
	id        oleandervalve.AgentID
	connected bool
	status    oleandervalve.ExecutorStatus
	rack      oleandervalve.RackID
	// grantedAt is when the agent was last allowed to extend its executor's lease.
	grantedAt time.Time
	runs      map[runKey]*run
	reserved  oleandervalve.Resources
	// serving is the processors asked for by serving runs, and servingBy splits it
	// by image.
	serving   oleandervalve.Millicores
	servingBy map[oleandervalve.KindName]oleandervalve.Millicores
	// filling is the processors asked for by filling runs, by image.
	filling map[oleandervalve.KindName]oleandervalve.Millicores
	// speed is the last measured speed, in percent of the declared one.
	speed    int
	measured time.Time
	// suspect counts the low speeds in a row.
	suspect   int
	slowUntil time.Time
	// crashes counts the lives that ended without notice in a row.
	crashes int
	// paces are the newest known paces of the filling images, in percent.
	paces   map[oleandervalve.KindName]int
	pacedAt time.Time
	// slowSince is since when filling images have worked at a low pace.
	slowSince map[oleandervalve.KindName]time.Time
	// tenants are the serving runs.
	tenants map[runKey]*run
	// pressure is the estimated utilisation of the tenants in this pass; nil if outdated.
	pressure []pressure
	// openness and spare are valid with pressure.
	openness float64
	spare    float64
	health   health
}

func newAgent(id oleandervalve.AgentID) *agent {
	return &agent{id: id, runs: map[runKey]*run{}, servingBy: map[oleandervalve.KindName]oleandervalve.Millicores{}, filling: map[oleandervalve.KindName]oleandervalve.Millicores{}, tenants: map[runKey]*run{}, slowSince: map[oleandervalve.KindName]time.Time{}}
}

// paceMemory is how long the last known paces of an executor count; agents
// report them every 0.7 seconds.
const paceMemory = 2 * time.Second

// workingFill is the part of the processors asked for by an image of filling
// tasks that they can use at their present pace.
func (a *agent) workingFill(image oleandervalve.KindName, now time.Time) float64 {
	return float64(a.filling[image]) * a.knownPace(image, now)
}

// knownPace is the present pace, from 0 to 1, of an image of filling tasks.
func (a *agent) knownPace(image oleandervalve.KindName, now time.Time) float64 {
	if pace, ok := a.paces[image]; ok && now.Sub(a.pacedAt) < paceMemory {
		return float64(pace) / 100
	}
	return 1
}

func (a *agent) place() work.Place { return work.Place{Agent: a.id, Executor: a.status.Incarnation} }

// usable reports whether new runs may be placed here.
func (a *agent) usable() bool {
	return a.connected && a.status.State == oleandervalve.ExecutorReady
}

// hold reserves room for a run.
func (a *agent) hold(k runKey, r *run) {
	a.runs[k] = r
	a.account(r, 1)
	if r.step != nil && r.step.spec.Target > 0 {
		a.tenants[k] = r
	}
}

// release gives the room of a run back.
func (a *agent) release(k runKey) *run {
	r := a.runs[k]
	if r == nil {
		return nil
	}
	delete(a.runs, k)
	delete(a.tenants, k)
	a.account(r, -1)
	return r
}

func (a *agent) account(r *run, sign int) {
	if sign > 0 {
		a.reserved = a.reserved.Add(r.size)
	} else {
		a.reserved = a.reserved.Sub(r.size)
	}
	a.pressure = nil
	if r.step == nil {
		return
	}
	cpu := r.step.spec.Demand.CPU * oleandervalve.Millicores(sign)
	switch {
	case r.step.spec.Fills:
		a.filling[r.step.spec.Image] += cpu
		if a.filling[r.step.spec.Image] == 0 {
			delete(a.filling, r.step.spec.Image)
		}
	case r.step.spec.LongRunning:
		a.serving += cpu
		a.servingBy[r.step.spec.Image] += cpu
	}
	if r.step.perExecutor == nil {
		r.step.perExecutor = map[oleandervalve.AgentID]int{}
	}
	r.step.perExecutor[a.id] += sign
}

// rackOf returns the rack of an executor, whose labels are its kind and its rack.
func rackOf(labels []string) oleandervalve.RackID {
	if len(labels) > 1 {
		return oleandervalve.RackID(labels[1])
	}
	return ""
}

// hasLabel reports whether the executor has a label; an empty one asks for nothing.
func (a *agent) hasLabel(want string) bool {
	if want == "" {
		return true
	}
	for _, l := range a.status.Labels {
		if l == want {
			return true
		}
	}
	return false
}
