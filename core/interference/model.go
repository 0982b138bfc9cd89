package interference

import (
	"oleandervalve"
)

// Kind is the number of a kind of task within one model.
type Kind uint16

// Level is a band of processor load of a worker.
type Level uint8

// levels is the number of load levels. Four bands separate idle, shared, busy
// and saturated workers and still collect enough samples each.
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

// Config sets the prior of the model.
type Config struct {
	// Prior is the expected extra slowdown per neighbour at each load level before any sample.
	Prior [levels]float64
	// PriorVariance is how far a pair may be from the prior; larger values learn faster.
	PriorVariance float64
	// Noise is the variance of one slowdown sample.
	Noise float64
	// Drift is the variance added per sample, so that old knowledge can be replaced.
	Drift float64
	// PriorWeight is the number of pairs that the general prior counts for
	// against what is known of the same neighbour beside other kinds.
	PriorWeight float64
}

// DefaultConfig returns the settings that the measurements use.
func DefaultConfig() Config {
	return Config{
		Prior:         [levels]float64{0.005, 0.01, 0.02, 0.03},
		PriorVariance: 0.004,
		Noise:         0.01,
		Drift:         0.000005,
		PriorWeight:   2,
	}
}

type cell struct{ mean, variance float32 }

// Model estimates the slowdown of a kind by each neighbouring kind. The
// slowdown of a task is taken as one plus the sum over its neighbours; each
// pair and level is one scalar with a variance, updated by a Kalman filter
// with a diagonal covariance. The variance does the shrinkage: a pair without
// samples has its prior, and samples move it in proportion to what is unknown.
type Model struct {
	config  Config
	byName  map[oleandervalve.KindName]Kind
	names   []oleandervalve.KindName
	rows    [][]cell
	sums    [][levels]float64
	counts  [][levels]float64
	samples uint64
}

// NewModel returns a model that knows only its prior.
func NewModel(c Config) *Model {
	return &Model{config: c, byName: map[oleandervalve.KindName]Kind{}}
}

// Kind returns the number of a kind, assigning one on first use.
func (m *Model) Kind(name oleandervalve.KindName) Kind {
	if k, ok := m.byName[name]; ok {
		return k
	}
	k := Kind(len(m.names))
	m.byName[name] = k
	m.names = append(m.names, name)
	m.rows = append(m.rows, nil)
	m.sums = append(m.sums, [levels]float64{})
	m.counts = append(m.counts, [levels]float64{})
	return k
}

// Name returns the name of a kind.
func (m *Model) Name(k Kind) oleandervalve.KindName { return m.names[k] }

// prior returns the mean for a pair without samples, shrunk from what the
// neighbour does to other kinds towards the general prior.
func (m *Model) prior(neighbour Kind, l Level) float64 {
	w := m.config.PriorWeight
	return (m.config.Prior[l]*w + m.sums[neighbour][l]) / (w + m.counts[neighbour][l])
}

// Effect returns the expected extra slowdown of a task by one neighbour.
func (m *Model) Effect(victim, neighbour Kind, l Level) float64 {
	row := m.rows[victim]
	if i := int(neighbour)*levels + int(l); i < len(row) && row[i].variance > 0 {
		return float64(row[i].mean)
	}
	return m.prior(neighbour, l)
}

// Neighbour is a group of tasks of one kind that share a worker.
type Neighbour struct {
	Kind Kind
	// Weight is the number of tasks, each counted by its share of the processor after throttling.
	Weight float32
	// Tasks is the number of tasks.
	Tasks int32
	// LatencyCritical tells services apart from batch tasks.
	LatencyCritical bool
}

// Expected returns the expected extra slowdown of one task among all tasks of its worker.
func (m *Model) Expected(victim Kind, residents []Neighbour, l Level) float64 {
	var sum float64
	for i := range residents {
		w := float64(residents[i].Weight)
		if residents[i].Kind == victim {
			// A task does not disturb itself.
			w = max(0, w-1)
		}
		if w > 0 {
			sum += w * m.Effect(victim, residents[i].Kind, l)
		}
	}
	return sum
}

// Observe learns from one slowdown sample of a task; the residents and the
// level must be those of the time that the sample describes.
func (m *Model) Observe(victim Kind, residents []Neighbour, l Level, slowdown float64) {
	m.samples++
	var expected, unknown float64
	for i := range residents {
		w := weightFor(victim, residents[i])
		if w == 0 {
			continue
		}
		c := m.cell(victim, residents[i].Kind, l)
		expected += w * float64(c.mean)
		unknown += w * w * float64(c.variance)
	}
	if unknown == 0 {
		return
	}
	// A single extreme sample (a stall of the worker itself) moves the model
	// at most as far as a slowdown of two.
	missed := min(max(slowdown-1, 0), 1) - expected
	total := unknown + m.config.Noise
	for i := range residents {
		w := weightFor(victim, residents[i])
		if w == 0 {
			continue
		}
		n := residents[i].Kind
		c := m.cell(victim, n, l)
		v := float64(c.variance)
		gain := w * v / total
		// No neighbour makes a task faster than alone.
		mean := max(0, float64(c.mean)+gain*missed)
		m.sums[n][l] += mean - float64(c.mean)
		c.mean = float32(mean)
		c.variance = float32(min(v-gain*w*v+m.config.Drift, m.config.PriorVariance))
	}
}

func weightFor(victim Kind, n Neighbour) float64 {
	w := float64(n.Weight)
	if n.Kind == victim {
		w = max(0, w-1)
	}
	return w
}

func (m *Model) cell(victim, neighbour Kind, l Level) *cell {
	i := int(neighbour)*levels + int(l)
	row := m.rows[victim]
	for len(row) <= i {
		row = append(row, cell{})
	}
	m.rows[victim] = row
	c := &row[i]
	if c.variance == 0 {
		p := m.prior(neighbour, l)
		*c = cell{mean: float32(p), variance: float32(m.config.PriorVariance)}
		m.sums[neighbour][l] += p
		m.counts[neighbour][l]++
	}
	return c
}

// Pair is the explanation of one learned pair.
type Pair struct {
	Kind      oleandervalve.KindName `json:"kind"`
	Neighbour oleandervalve.KindName `json:"neighbour"`
	Level     Level                  `json:"level"`
	// Effect is the extra slowdown per neighbour: 0.1 means 10% longer.
	Effect float64 `json:"effect"`
	// Variance is how uncertain the effect is.
	Variance float64 `json:"variance"`
}

// Explain returns what is known of a pair at a load level.
func (m *Model) Explain(kind, neighbour oleandervalve.KindName, l Level) Pair {
	k, n := m.Kind(kind), m.Kind(neighbour)
	p := Pair{Kind: kind, Neighbour: neighbour, Level: l, Effect: m.Effect(k, n, l), Variance: m.config.PriorVariance}
	if i := int(n)*levels + int(l); i < len(m.rows[k]) && m.rows[k][i].variance > 0 {
		p.Variance = float64(m.rows[k][i].variance)
	}
	return p
}
