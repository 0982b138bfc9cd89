package contention

import (
	"maps"
	"math"
	"sort"
	"time"

	"oleandervalve"
)

// The model treats a latency-critical task as a queue: its utilisation is one
// minus the ratio of its interference-free to its current tail latency. The
// utilisation is the sum of the task's own load, which is the same for all tasks
// of its job, and, for each image of co-located best-effort tasks, an
// interference coefficient times the share of the executor's processors that
// these tasks use. Differences between tasks of one job at one time cancel the
// load, and a ridge regression of the differences yields the coefficients.
const (
	// priorCoefficient is the coefficient of a pair without samples. It lies
	// between those of non-interfering and interfering pairs.
	priorCoefficient = 1.0
	// maxCoefficient is the upper bound of a coefficient.
	maxCoefficient = 8.0
	// ridge is the information that the prior counts for. For comparison, each
	// sample of a task that uses a tenth of an executor adds 0.01.
	ridge = 0.02
	// saturationUtilisation is the utilisation from which on tail latency is no
	// longer a measure of the load.
	saturationUtilisation = 0.94
	// minInterferingCoefficient is the coefficient from which on a pair counts as interfering.
	minInterferingCoefficient = 0.8
	// negligibleCoefficient is the coefficient below which best-effort tasks need
	// no limit: a task that uses a tenth of an executor adds less than the normal
	// variation of the tail latency.
	negligibleCoefficient = 0.5
	// minInformation is the information from which on a coefficient is relied on.
	minInformation = 0.03
	// peerSampleMaxAge limits the age of samples of other tasks of the same job.
	peerSampleMaxAge = 800 * time.Millisecond
	// lastSampleMaxAge limits the age of a task's previous sample when the task is
	// compared with itself; agents send samples every 0.7 s.
	lastSampleMaxAge = 1100 * time.Millisecond
	// loadSampleMaxAge limits the age of samples from which the load of a job is estimated.
	loadSampleMaxAge = 1500 * time.Millisecond
	// defaultLoad is assumed for jobs without samples.
	defaultLoad = 0.5
	// shareTimeConstant is the time constant with which tail latencies follow
	// changes of the processor shares.
	shareTimeConstant = 500 * time.Millisecond
	// targetToBaselineRatio is the ratio of the latency target to the
	// interference-free latency.
	targetToBaselineRatio = 6.0
)

// Pair is a best-effort image co-located with a latency-critical image.
type Pair struct {
	BestEffort      oleandervalve.KindName `cbor:"1,keyasint"`
	LatencyCritical oleandervalve.KindName `cbor:"2,keyasint"`
}

// LatencySample is the latency sample of one latency-critical task.
type LatencySample struct {
	Job   oleandervalve.JobID    `cbor:"1,keyasint"`
	Image oleandervalve.KindName `cbor:"2,keyasint"`
	// TailLatency and its Target are in milliseconds.
	TailLatency int64 `cbor:"3,keyasint"`
	Target      int64 `cbor:"4,keyasint"`
}

// BestEffortUsage is the processor usage of the best-effort tasks of one image.
type BestEffortUsage struct {
	Image oleandervalve.KindName   `cbor:"1,keyasint"`
	Used  oleandervalve.Millicores `cbor:"2,keyasint"`
	// SpeedLimit is the speed limit of the tasks in percent; 100 means unthrottled.
	SpeedLimit int `cbor:"3,keyasint"`
}

// Sample is one measurement of an executor. LatencyCritical has one element for
// each latency-critical task, and BestEffort one for each best-effort image.
type Sample struct {
	LatencyCritical []LatencySample   `cbor:"1,keyasint,omitempty"`
	BestEffort      []BestEffortUsage `cbor:"2,keyasint,omitempty"`
	// Speed is the median speed of the jobs that run to completion, in percent of
	// their declared speed, and MeasuredJobs is the number of these jobs.
	Speed        int `cbor:"3,keyasint,omitempty"`
	MeasuredJobs int `cbor:"4,keyasint,omitempty"`
	// JobSpeeds are the speeds of these jobs.
	JobSpeeds []JobSpeed `cbor:"5,keyasint,omitempty"`
}

// JobSpeed is the speed of one job's tasks on an executor, in percent of the declared one.
type JobSpeed struct {
	Job     oleandervalve.JobID `cbor:"1,keyasint"`
	Percent int                 `cbor:"2,keyasint"`
	// Resolution is by how much the speed may be higher.
	Resolution int `cbor:"3,keyasint,omitempty"`
}

// loadSample is the newest sample of a job's task on one executor.
type loadSample struct {
	at          time.Time
	utilisation float64
	shares      map[oleandervalve.KindName]float64
}

// executor holds the smoothed processor shares of the best-effort images on one executor.
type executor struct {
	at     time.Time
	shares map[oleandervalve.KindName]float64
}

// Model estimates interference coefficients and job loads from samples.
type Model struct {
	// regressions holds one regression for each latency-critical image.
	regressions map[oleandervalve.KindName]*regression
	// jobs holds the newest samples of each job by agent.
	jobs      map[oleandervalve.JobID]map[oleandervalve.AgentID]loadSample
	executors map[oleandervalve.AgentID]*executor
}

// New returns a model without samples.
func New() *Model {
	return &Model{
		regressions: map[oleandervalve.KindName]*regression{},
		jobs:        map[oleandervalve.JobID]map[oleandervalve.AgentID]loadSample{},
		executors:   map[oleandervalve.AgentID]*executor{},
	}
}

// Coefficient returns the estimated interference coefficient of a pair.
func (m *Model) Coefficient(p Pair) float64 {
	if r := m.regressions[p.LatencyCritical]; r != nil {
		return r.coefficient(p.BestEffort)
	}
	return priorCoefficient
}

// isEstimated reports whether there is enough information to rely on the coefficient of a pair.
func (m *Model) isEstimated(p Pair) bool {
	r := m.regressions[p.LatencyCritical]
	return r != nil && r.information(p.BestEffort) >= minInformation
}

// Interferes reports whether a pair is known to interfere.
func (m *Model) Interferes(p Pair) bool {
	return m.isEstimated(p) && m.Coefficient(p) >= minInterferingCoefficient
}

// IsNegligible reports whether the interference of a pair is known to be so small
// that the best-effort tasks need no limit.
func (m *Model) IsNegligible(p Pair) bool {
	return m.isEstimated(p) && m.Coefficient(p) < negligibleCoefficient
}

// IsNonInterfering reports whether a pair is known not to interfere.
func (m *Model) IsNonInterfering(p Pair) bool {
	return m.isEstimated(p) && m.Coefficient(p) < minInterferingCoefficient
}

// NonInterfering returns the pairs that are known not to interfere, sorted.
func (m *Model) NonInterfering() []Pair {
	var out []Pair
	for image, r := range m.regressions {
		for _, beImage := range r.images {
			if p := (Pair{beImage, image}); m.IsNonInterfering(p) {
				out = append(out, p)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].BestEffort != out[j].BestEffort {
			return out[i].BestEffort < out[j].BestEffort
		}
		return out[i].LatencyCritical < out[j].LatencyCritical
	})
	return out
}

// Coefficients returns the estimated coefficients for the log. The keys are
// "best-effort image/latency-critical image".
func (m *Model) Coefficients() map[string]float64 {
	out := map[string]float64{}
	for image, r := range m.regressions {
		for _, beImage := range r.images {
			out[string(beImage)+"/"+string(image)] = math.Round(100*r.coefficient(beImage)) / 100
		}
	}
	return out
}

// utilisationFromLatency returns the utilisation that corresponds to the tail latency of a sample.
func utilisationFromLatency(sample LatencySample) float64 {
	return min(max(0, 1-float64(sample.Target)/(targetToBaselineRatio*float64(max(1, sample.TailLatency)))), 0.99)
}

// Load returns the estimated utilisation of a job's tasks without interference, or
// defaultLoad if there are no recent samples.
func (m *Model) Load(now time.Time, j oleandervalve.JobID, image oleandervalve.KindName) float64 {
	sum, n := 0.0, 0
	for _, s := range m.jobs[j] {
		if !s.isUsable(now, loadSampleMaxAge) {
			continue
		}
		ownLoad := s.utilisation
		for beImage, share := range s.shares {
			ownLoad -= m.Coefficient(Pair{beImage, image}) * share
		}
		sum += max(0, ownLoad)
		n++
	}
	if n == 0 {
		return defaultLoad
	}
	return sum / float64(n)
}

// RemoveExecutor removes an executor.
func (m *Model) RemoveExecutor(a oleandervalve.AgentID) { delete(m.executors, a) }

// RemoveJob removes a job that has ended.
func (m *Model) RemoveJob(j oleandervalve.JobID) { delete(m.jobs, j) }

// Observe updates the model with a sample of an executor of the given capacity.
func (m *Model) Observe(now time.Time, a oleandervalve.AgentID, capacity oleandervalve.Millicores, sample Sample) {
	shares := m.updateShares(now, a, capacity, sample.BestEffort)
	for _, task := range sample.LatencyCritical {
		if task.TailLatency <= 0 || task.Target <= 0 {
			continue
		}
		current := loadSample{at: now, utilisation: utilisationFromLatency(task), shares: shares}
		m.learn(task, current, a)
		if m.jobs[task.Job] == nil {
			m.jobs[task.Job] = map[oleandervalve.AgentID]loadSample{}
		}
		m.jobs[task.Job][a] = current
	}
}

// updateShares smooths the processor shares of the best-effort images on an
// executor and returns a copy of them.
func (m *Model) updateShares(now time.Time, a oleandervalve.AgentID, capacity oleandervalve.Millicores, usages []BestEffortUsage) map[oleandervalve.KindName]float64 {
	e := m.executors[a]
	if e == nil {
		e = &executor{shares: map[oleandervalve.KindName]float64{}}
		m.executors[a] = e
	}
	decay := math.Exp(-now.Sub(e.at).Seconds() / shareTimeConstant.Seconds())
	e.at = now
	for image := range e.shares {
		e.shares[image] *= decay
		if e.shares[image] < minShare {
			delete(e.shares, image)
		}
	}
	for _, u := range usages {
		e.shares[u.Image] += (1 - decay) * float64(u.Used) / float64(max(1, capacity))
	}
	return maps.Clone(e.shares)
}

// minShare is the smoothed share below which an image is dropped from an executor.
const minShare = 0.002

// learn compares a task with the tasks of its job on other executors at the
// same time. If there are none, it compares the task with its own previous sample:
// the load of a task changes more slowly than best-effort tasks start and end.
func (m *Model) learn(task LatencySample, current loadSample, a oleandervalve.AgentID) {
	others := m.peers(task.Job, current, a)
	if last, ok := m.jobs[task.Job][a]; len(others) == 0 && ok && current.at.After(last.at) && last.isUsable(current.at, lastSampleMaxAge) {
		others = append(others, last)
	}
	if len(others) == 0 {
		return
	}
	difference := maps.Clone(current.shares)
	reference := 0.0
	for _, o := range others {
		reference += o.utilisation / float64(len(others))
		for beImage, share := range o.shares {
			difference[beImage] -= share / float64(len(others))
		}
	}
	m.addDifference(task.Image, difference, current.utilisation, reference)
}

// peers returns the samples of a job's tasks on other executors at about the same time.
func (m *Model) peers(j oleandervalve.JobID, current loadSample, a oleandervalve.AgentID) []loadSample {
	var out []loadSample
	for id, peer := range m.jobs[j] {
		if id != a && peer.isUsable(current.at, peerSampleMaxAge) {
			out = append(out, peer)
		}
	}
	return out
}

// isUsable reports whether a sample is recent enough at the given time and not
// saturated, so that it allows conclusions about the load.
func (s loadSample) isUsable(at time.Time, maxAge time.Duration) bool {
	return at.Sub(s.at) <= maxAge && s.utilisation < saturationUtilisation
}

// addDifference adds the difference between a task and its reference to the
// regression of the task's image: the shares of the best-effort images that
// differ, and the two utilisations.
func (m *Model) addDifference(image oleandervalve.KindName, difference map[oleandervalve.KindName]float64, current, reference float64) {
	r := m.regressions[image]
	if r == nil {
		r = newRegression()
		m.regressions[image] = r
	}
	// A saturated task gives only a lower bound of the coefficients.
	if current >= saturationUtilisation && r.predict(difference) >= current-reference {
		return
	}
	r.addSample(difference, current-reference)
}
