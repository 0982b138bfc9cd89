package interference

import (
	"oleandervalve"
)

// Kind is the index that a model assigns to a kind of task.
type Kind uint16

// Level is a band of the processor load of a worker.
type Level uint8

// levels is the number of load levels. Four bands distinguish idle, shared, busy
// and saturated workers, and each still receives enough samples.
const levels = 4

// LevelOf returns the load level of a processor load between 0 and 1.
func LevelOf(load float64) Level {
	switch {
	case load < 0.4:
		return 0
	case load < 0.6:
		return 1
	case load < 0.8:
		return 2
	}
	return 3
}

// Config sets the prior and the variances of the model.
type Config struct {
	// Prior is the extra slowdown per neighbour at each load level that is expected
	// before any sample.
	Prior [levels]float64
	// PriorVariance is the variance of a pair's effect around the prior. With larger
	// values the model adapts faster to samples.
	PriorVariance float64
	// Noise is the variance of one slowdown sample.
	Noise float64
	// Drift is the variance added with each sample, so that an estimate can follow
	// an effect that changes over time.
	Drift float64
	// PriorWeight is the weight of Prior, in pairs, when it is averaged with the
	// estimates for the same neighbour co-located with other kinds.
	PriorWeight float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Prior:         [levels]float64{0.005, 0.01, 0.02, 0.03},
		PriorVariance: 0.004,
		Noise:         0.01,
		Drift:         0.000005,
		PriorWeight:   2,
	}
}

// estimate is the estimated effect of a pair at a load level; its variance is 0
// before the first sample.
type estimate struct{ mean, variance float32 }

// Model estimates the slowdown of a kind caused by each neighbouring kind. The
// slowdown of a task is modelled as one plus the sum of the effects of its
// neighbours. The effect of each pair and level is a scalar with a variance,
// updated by a Kalman filter with a diagonal covariance. The variance controls
// the shrinkage: a pair without samples has its prior, and samples move the
// estimate in proportion to its variance.
type Model struct {
	config Config
	byName map[oleandervalve.KindName]Kind
	names  []oleandervalve.KindName
	// estimates is indexed by the slowed kind, then by neighbour*levels + level.
	estimates [][]estimate
	// meanSums and pairCounts hold, by neighbour and level, the sum of the estimated
	// means and the number of pairs with an estimate.
	meanSums   [][levels]float64
	pairCounts [][levels]float64
	samples    uint64
}

// NewModel returns a model without samples.
func NewModel(c Config) *Model {
	return &Model{config: c, byName: map[oleandervalve.KindName]Kind{}}
}

// Kind returns the index of a kind, assigning one on first use.
func (m *Model) Kind(name oleandervalve.KindName) Kind {
	if k, ok := m.byName[name]; ok {
		return k
	}
	k := Kind(len(m.names))
	m.byName[name] = k
	m.names = append(m.names, name)
	m.estimates = append(m.estimates, nil)
	m.meanSums = append(m.meanSums, [levels]float64{})
	m.pairCounts = append(m.pairCounts, [levels]float64{})
	return k
}

// Name returns the name of a kind.
func (m *Model) Name(k Kind) oleandervalve.KindName { return m.names[k] }

// prior returns the mean for a pair without samples: the average effect of the
// neighbour on other kinds, shrunk towards Config.Prior.
func (m *Model) prior(neighbour Kind, l Level) float64 {
	w := m.config.PriorWeight
	return (m.config.Prior[l]*w + m.meanSums[neighbour][l]) / (w + m.pairCounts[neighbour][l])
}

// Effect returns the expected extra slowdown that one neighbour causes to a task.
func (m *Model) Effect(victim, neighbour Kind, l Level) float64 {
	row := m.estimates[victim]
	if i := int(neighbour)*levels + int(l); i < len(row) && row[i].variance > 0 {
		return float64(row[i].mean)
	}
	return m.prior(neighbour, l)
}

// KindGroup is the group of all tasks of one kind on one worker that are
// latency-critical, or of all that are not. The groups of a worker form its mix.
type KindGroup struct {
	Kind Kind
	// EffectiveCount is the sum of the tasks' processor shares; a task that is not
	// throttled counts 1.
	EffectiveCount float32
	// Tasks is the number of tasks.
	Tasks int32
	// LatencyCritical distinguishes latency-critical from batch tasks.
	LatencyCritical bool
}

// Expected returns the expected extra slowdown of one task caused by all other
// tasks of its worker. The mix includes the task itself.
func (m *Model) Expected(victim Kind, mix []KindGroup, l Level) float64 {
	var sum float64
	for i := range mix {
		count := float64(mix[i].EffectiveCount)
		if mix[i].Kind == victim {
			// A task does not interfere with itself.
			count = max(0, count-1)
		}
		if count > 0 {
			sum += count * m.Effect(victim, mix[i].Kind, l)
		}
	}
	return sum
}

// Observe updates the model with one slowdown sample of a task. The mix and the
// level must be those at the time of the sample.
func (m *Model) Observe(victim Kind, mix []KindGroup, l Level, slowdown float64) {
	m.samples++
	var expected, modelVariance float64
	for i := range mix {
		count := effectiveCountFor(victim, mix[i])
		if count == 0 {
			continue
		}
		e := m.estimate(victim, mix[i].Kind, l)
		expected += count * float64(e.mean)
		modelVariance += count * count * float64(e.variance)
	}
	if modelVariance == 0 {
		return
	}
	// Slowdowns above two count as two, which limits the influence of a single
	// extreme sample, such as one caused by a stall of the worker itself.
	residual := min(max(slowdown-1, 0), 1) - expected
	totalVariance := modelVariance + m.config.Noise
	for i := range mix {
		count := effectiveCountFor(victim, mix[i])
		if count == 0 {
			continue
		}
		neighbour := mix[i].Kind
		e := m.estimate(victim, neighbour, l)
		v := float64(e.variance)
		gain := count * v / totalVariance
		// A neighbour can't make a task faster than it would be alone.
		mean := max(0, float64(e.mean)+gain*residual)
		m.meanSums[neighbour][l] += mean - float64(e.mean)
		e.mean = float32(mean)
		e.variance = float32(min(v-gain*count*v+m.config.Drift, m.config.PriorVariance))
	}
}

// effectiveCountFor returns the effective count of a group without the task itself,
// which does not interfere with itself.
func effectiveCountFor(victim Kind, n KindGroup) float64 {
	count := float64(n.EffectiveCount)
	if n.Kind == victim {
		count = max(0, count-1)
	}
	return count
}

// estimate returns the estimate of a pair and initialises it to the prior on first use.
func (m *Model) estimate(victim, neighbour Kind, l Level) *estimate {
	i := int(neighbour)*levels + int(l)
	row := m.estimates[victim]
	for len(row) <= i {
		row = append(row, estimate{})
	}
	m.estimates[victim] = row
	c := &row[i]
	if c.variance == 0 {
		p := m.prior(neighbour, l)
		*c = estimate{mean: float32(p), variance: float32(m.config.PriorVariance)}
		m.meanSums[neighbour][l] += p
		m.pairCounts[neighbour][l]++
	}
	return c
}

// Pair describes the estimated effect of one kind on another at one load level.
type Pair struct {
	Kind      oleandervalve.KindName `json:"kind"`
	Neighbour oleandervalve.KindName `json:"neighbour"`
	Level     Level                  `json:"level"`
	// Effect is the extra slowdown per neighbour; 0.1 means that the task takes 10% longer.
	Effect float64 `json:"effect"`
	// Variance is the uncertainty of Effect.
	Variance float64 `json:"variance"`
}

// Explain returns the estimate for a pair at a load level.
func (m *Model) Explain(kind, neighbour oleandervalve.KindName, l Level) Pair {
	k, n := m.Kind(kind), m.Kind(neighbour)
	p := Pair{Kind: kind, Neighbour: neighbour, Level: l, Effect: m.Effect(k, n, l), Variance: m.config.PriorVariance}
	if i := int(n)*levels + int(l); i < len(m.estimates[k]) && m.estimates[k][i].variance > 0 {
		p.Variance = float64(m.estimates[k][i].variance)
	}
	return p
}
