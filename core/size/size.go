package size

import (
	"math"

	"oleandervalve"
)

// Config sets how usage samples become a size estimate.
type Config struct {
	// CPUQuantile is the share of processor samples that the estimate covers.
	CPUQuantile float64
	// MemoryQuantile is the share of memory samples that the estimate covers.
	MemoryQuantile float64
	// MemoryMargin multiplies the learned memory, because memory, unlike processor
	// time, can't be shared when it runs short.
	MemoryMargin float64
	// PriorSamples is the weight of the declared size, in samples.
	PriorSamples float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{CPUQuantile: 0.90, MemoryQuantile: 0.99, MemoryMargin: 1.10, PriorSamples: 3}
}

// maxHistogramWeight bounds the total weight of a histogram. Reaching it halves
// all counts, so that a kind whose use changes is relearned within about as many
// samples.
const maxHistogramWeight = 2048

// bucketsPerDoubling makes a bucket about 9% wide, finer than the noise of usage samples.
const bucketsPerDoubling = 8

// histogram counts samples in buckets whose width is a fixed ratio.
type histogram struct {
	counts []float32
	total  float32
}

// bucketOf returns the bucket of a value; values below 1 are in bucket 0.
func bucketOf(v float64) int {
	return int(math.Ceil(math.Log2(max(v, 1)) * bucketsPerDoubling))
}

func (h *histogram) add(v float64) {
	b := bucketOf(v)
	for len(h.counts) <= b {
		h.counts = append(h.counts, 0)
	}
	h.counts[b]++
	h.total++
	if h.total >= maxHistogramWeight {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
}

// quantile returns the upper edge of the bucket that contains quantile q.
func (h *histogram) quantile(q float64) float64 {
	remaining := h.total * float32(1-q)
	for i := len(h.counts) - 1; i >= 0; i-- {
		if h.counts[i] > remaining {
			return math.Exp2(float64(i) / bucketsPerDoubling)
		}
		remaining -= h.counts[i]
	}
	return 0
}

// kind holds the usage samples of a kind and the size learned from them.
type kind struct {
	cpu, memory histogram
	// learned is the cached size from the samples alone, without the declared size.
	// It is recomputed when the weight of the memory samples has grown by an eighth
	// since weightAtUpdate.
	learned        oleandervalve.Resources
	weightAtUpdate float32
	samples        uint64
}

// Model holds the learned sizes of all kinds.
type Model struct {
	config Config
	kinds  map[oleandervalve.KindName]*kind
}

// New returns a model without samples.
func New(c Config) *Model {
	return &Model{config: c, kinds: map[oleandervalve.KindName]*kind{}}
}

// Conditions states what limited the processor use of a task while its sample was taken.
type Conditions struct {
	// Throttled means that the scheduler limited the task to less than its demand.
	Throttled bool
	// Saturated means that the worker had no idle processor time left.
	Saturated bool
}

// Observe records one usage sample of a task of the kind.
func (m *Model) Observe(k oleandervalve.KindName, used oleandervalve.Resources, c Conditions) {
	e := m.kinds[k]
	if e == nil {
		e = &kind{}
		m.kinds[k] = e
	}
	e.samples++
	e.memory.add(float64(used.Memory) / 1024)
	// The processor use of a limited task is only a lower bound of its demand;
	// learning from it would shrink the estimate and crowd the worker further.
	limited := c.Throttled || c.Saturated && used.CPU < e.learned.CPU
	if !limited {
		e.cpu.add(float64(used.CPU))
	}
	if e.memory.total >= e.weightAtUpdate*1.125 || e.memory.total < e.weightAtUpdate || e.samples < 16 {
		e.learned.CPU = oleandervalve.Millicores(math.Ceil(e.cpu.quantile(m.config.CPUQuantile)))
		e.learned.Memory = oleandervalve.Bytes(e.memory.quantile(m.config.MemoryQuantile) * 1024 * m.config.MemoryMargin)
		e.weightAtUpdate = e.memory.total
	}
}

// Estimate returns the size to reserve for a task of the kind that declares the given size.
func (m *Model) Estimate(k oleandervalve.KindName, declared oleandervalve.Resources) oleandervalve.Resources {
	e := m.kinds[k]
	if e == nil {
		return declared
	}
	r := declared
	if e.cpu.total > 0 {
		r.CPU = oleandervalve.Millicores(blend(float64(declared.CPU), float64(e.learned.CPU), float64(e.cpu.total), m.config.PriorSamples))
	}
	if e.memory.total > 0 {
		r.Memory = oleandervalve.Bytes(blend(float64(declared.Memory), float64(e.learned.Memory), float64(e.memory.total), m.config.PriorSamples))
	}
	return r
}

// blend interpolates from the declared to the learned value on a logarithmic
// scale, because declared sizes are wrong by a factor rather than an amount. Use
// above the declared size counts in full at once, because it was observed.
func blend(declared, learned, n, prior float64) float64 {
	if declared <= 0 || learned >= declared {
		return learned
	}
	w := n / (n + prior)
	return math.Exp((1-w)*math.Log(declared) + w*math.Log(max(learned, 1)))
}

// Snapshot is the learned size of a kind and the number of samples behind it.
type Snapshot struct {
	Kind    oleandervalve.KindName  `json:"kind"`
	Samples uint64                  `json:"samples"`
	Size    oleandervalve.Resources `json:"size"`
}

// KindSnapshot returns the learned size of a kind.
func (m *Model) KindSnapshot(k oleandervalve.KindName) Snapshot {
	e := m.kinds[k]
	if e == nil {
		return Snapshot{Kind: k}
	}
	return Snapshot{Kind: k, Samples: e.samples, Size: e.learned}
}
