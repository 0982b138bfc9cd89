package contention

import (
	"maps"
	"math"
	"sort"
	"time"

	"oleandervalve"
)

// The model treats a serving task as a queue: its utilisation is one minus the
// ratio of its undisturbed to its present tail latency. The utilisation is the
// task's own load, which all tasks of its job share, plus, for each image of
// filling tasks beside it, a weight times the share of the executor's
// processors that they use. Differences between tasks of one job at one time
// cancel the load, and a ridge regression of the differences gives the weights.
const (
	// priorWeight is the weight of a pair without samples, between those of
	// pairs that don't disturb and pairs that do.
	priorWeight = 1.0
	// maxWeight bounds a weight.
	maxWeight = 8.0
	// ridge is how much information the prior weighs; a task that fills a tenth
	// of an executor gives 0.01 with each sample.
	ridge = 0.02
	// saturated is the utilisation beyond which latency no longer tells how much.
	saturated = 0.94
	// lightWeight is the weight below which a pair counts as undisturbed.
	lightWeight = 0.8
	// harmlessWeight is the weight below which filling tasks need no limit: a task
	// that fills a tenth of an executor adds less than the tail latency swings.
	harmlessWeight = 0.5
	// enoughInformation is what a known pair needs.
	enoughInformation = 0.03
	// peerAge is how old the sample of another task of the job may be.
	peerAge = 800 * time.Millisecond
	// lastAge is how old the last sample of a task may be to compare it with
	// itself; agents send samples every 0.7 s.
	lastAge = 1100 * time.Millisecond
	// loadMemory is how long a sample tells the load of its job.
	loadMemory = 1500 * time.Millisecond
	// unknownLoad is assumed for jobs without samples.
	unknownLoad = 0.5
	// shareMemory is the time constant with which tail latencies follow the shares.
	shareMemory = 500 * time.Millisecond
	// targetRatio is the target as a multiple of the undisturbed latency.
	targetRatio = 6.0
)

// Pair is an image that fills beside an image that serves.
type Pair struct {
	Fill    oleandervalve.KindName `cbor:"1,keyasint"`
	Serving oleandervalve.KindName `cbor:"2,keyasint"`
}

// Serving is the sample of one serving task.
type Serving struct {
	Job   oleandervalve.JobID    `cbor:"1,keyasint"`
	Image oleandervalve.KindName `cbor:"2,keyasint"`
	// Tail and Target are latencies in milliseconds.
	Tail   int64 `cbor:"3,keyasint"`
	Target int64 `cbor:"4,keyasint"`
}

// Filling is the use of processors by the filling tasks of one image.
type Filling struct {
	Image oleandervalve.KindName   `cbor:"1,keyasint"`
	Used  oleandervalve.Millicores `cbor:"2,keyasint"`
	// Pace is the percentage at which the tasks may work.
	Pace int `cbor:"3,keyasint"`
}

// Sample is what one executor shows at a time.
type Sample struct {
	Serving []Serving `cbor:"1,keyasint,omitempty"`
	Filling []Filling `cbor:"2,keyasint,omitempty"`
	// Speed is the median speed of the jobs that end by themselves, in percent of
	// the declared one, and Measured the number of these jobs.
	Speed    int `cbor:"3,keyasint,omitempty"`
	Measured int `cbor:"4,keyasint,omitempty"`
}

// loadSample is the newest sample of one task of a job on one executor.
type loadSample struct {
	at          time.Time
	utilisation float64
	shares      map[oleandervalve.KindName]float64
}

// executor holds the smoothed shares of the filling images on one executor.
type executor struct {
	at     time.Time
	shares map[oleandervalve.KindName]float64
}

// Model holds what has been learned.
type Model struct {
	// regressions are by serving image.
	regressions map[oleandervalve.KindName]*regression
	jobs        map[oleandervalve.JobID]map[oleandervalve.AgentID]loadSample
	executors   map[oleandervalve.AgentID]*executor
}

// New returns a model without samples.
func New() *Model {
	return &Model{
		regressions: map[oleandervalve.KindName]*regression{},
		jobs:        map[oleandervalve.JobID]map[oleandervalve.AgentID]loadSample{},
		executors:   map[oleandervalve.AgentID]*executor{},
	}
}

// Weight returns the learned weight of a pair.
func (m *Model) Weight(p Pair) float64 {
	if r := m.regressions[p.Serving]; r != nil {
		return r.weight(p.Fill)
	}
	return priorWeight
}

// known reports whether there is enough information about a pair.
func (m *Model) known(p Pair) bool {
	r := m.regressions[p.Serving]
	return r != nil && r.information(p.Fill) >= enoughInformation
}

// Disturbs reports whether a pair is known to disturb.
func (m *Model) Disturbs(p Pair) bool { return m.known(p) && m.Weight(p) >= lightWeight }

// Harmless reports whether a pair is known to disturb so little that it needs no limit.
func (m *Model) Harmless(p Pair) bool { return m.known(p) && m.Weight(p) < harmlessWeight }

// Light lists the pairs that are known not to disturb, in order.
func (m *Model) Light() []Pair {
	var out []Pair
	for serving, r := range m.regressions {
		for _, f := range r.images {
			if p := (Pair{f, serving}); m.known(p) && m.Weight(p) < lightWeight {
				out = append(out, p)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Fill != out[j].Fill {
			return out[i].Fill < out[j].Fill
		}
		return out[i].Serving < out[j].Serving
	})
	return out
}

// Weights returns the learned weights by "fill/serving", for the log.
func (m *Model) Weights() map[string]float64 {
	out := map[string]float64{}
	for serving, r := range m.regressions {
		for _, f := range r.images {
			out[string(f)+"/"+string(serving)] = math.Round(100*r.weight(f)) / 100
		}
	}
	return out
}

// utilisation converts a latency.
func utilisation(s Serving) float64 {
	return min(max(0, 1-float64(s.Target)/(targetRatio*float64(max(1, s.Tail)))), 0.99)
}

// Load returns the estimated load of a job's tasks by themselves.
func (m *Model) Load(now time.Time, j oleandervalve.JobID, image oleandervalve.KindName) float64 {
	sum, n := 0.0, 0
	for _, s := range m.jobs[j] {
		if !s.tells(now, loadMemory) {
			continue
		}
		own := s.utilisation
		for f, share := range s.shares {
			own -= m.Weight(Pair{f, image}) * share
		}
		sum += max(0, own)
		n++
	}
	if n == 0 {
		return unknownLoad
	}
	return sum / float64(n)
}

// Forget drops an executor.
func (m *Model) Forget(a oleandervalve.AgentID) { delete(m.executors, a) }

// Ended drops a job.
func (m *Model) Ended(j oleandervalve.JobID) { delete(m.jobs, j) }

// Observe learns from the sample of an executor with a capacity.
func (m *Model) Observe(now time.Time, a oleandervalve.AgentID, capacity oleandervalve.Millicores, s Sample) {
	shares := m.smooth(now, a, capacity, s.Filling)
	for _, x := range s.Serving {
		if x.Tail <= 0 || x.Target <= 0 {
			continue
		}
		own := loadSample{at: now, utilisation: utilisation(x), shares: shares}
		m.learn(x, own, a)
		if m.jobs[x.Job] == nil {
			m.jobs[x.Job] = map[oleandervalve.AgentID]loadSample{}
		}
		m.jobs[x.Job][a] = own
	}
}

// smooth follows the shares of the filling images of an executor and returns a copy.
func (m *Model) smooth(now time.Time, a oleandervalve.AgentID, capacity oleandervalve.Millicores, fills []Filling) map[oleandervalve.KindName]float64 {
	e := m.executors[a]
	if e == nil {
		e = &executor{shares: map[oleandervalve.KindName]float64{}}
		m.executors[a] = e
	}
	keep := math.Exp(-now.Sub(e.at).Seconds() / shareMemory.Seconds())
	e.at = now
	for i := range e.shares {
		e.shares[i] *= keep
		if e.shares[i] < negligibleShare {
			delete(e.shares, i)
		}
	}
	for _, f := range fills {
		e.shares[f.Image] += (1 - keep) * float64(f.Used) / float64(max(1, capacity))
	}
	return maps.Clone(e.shares)
}

// negligibleShare is a share that is not followed any longer.
const negligibleShare = 0.002

// learn compares a task with the other tasks of its job at the same time, or,
// if there are none on other executors, with its own last sample: its load
// changes more slowly than filling tasks come and go.
func (m *Model) learn(x Serving, own loadSample, a oleandervalve.AgentID) {
	others := m.peers(x.Job, own, a)
	if last, ok := m.jobs[x.Job][a]; len(others) == 0 && ok && own.at.After(last.at) && last.tells(own.at, lastAge) {
		others = append(others, last)
	}
	if len(others) == 0 {
		return
	}
	difference := maps.Clone(own.shares)
	mean := 0.0
	for _, o := range others {
		mean += o.utilisation / float64(len(others))
		for f, share := range o.shares {
			difference[f] -= share / float64(len(others))
		}
	}
	m.add(x.Image, difference, own.utilisation, mean)
}

// peers returns the samples of a job's tasks on other executors at about the same time.
func (m *Model) peers(j oleandervalve.JobID, own loadSample, a oleandervalve.AgentID) []loadSample {
	var out []loadSample
	for id, peer := range m.jobs[j] {
		if id != a && peer.tells(own.at, peerAge) {
			out = append(out, peer)
		}
	}
	return out
}

// tells reports whether a sample still tells the load at a time.
func (s loadSample) tells(at time.Time, age time.Duration) bool {
	return at.Sub(s.at) <= age && s.utilisation < saturated
}

// add takes the difference between a task and what it is compared with.
func (m *Model) add(image oleandervalve.KindName, difference map[oleandervalve.KindName]float64, own, other float64) {
	r := m.regressions[image]
	if r == nil {
		r = newRegression()
		m.regressions[image] = r
	}
	// A saturated task shows only that the weights are at least so large.
	if own >= saturated && r.predict(difference) >= own-other {
		return
	}
	r.add(difference, own-other)
}
