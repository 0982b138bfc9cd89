package overload

import "math"

// Queue names a queue.
type Queue string

const (
	// sizeWeight is the weight of the newest job in the moving averages of a queue.
	sizeWeight = 1.0 / 64
	// largeQuantile is the standard normal quantile of 0.9: the largest tenth of a queue's jobs
	// are those above it.
	largeQuantile = 1.2816
	// minSizes is the number of jobs from which on a queue's large jobs are told from others.
	minSizes = 20
)

// size holds moving averages of the work of a queue's jobs.
type size struct {
	n                    int
	mean, mu, squaredDev float64
}

// Sizes knows how large the jobs of each queue usually are.
type Sizes struct {
	queues map[Queue]*size
}

// NewSizes returns Sizes without jobs.
func NewSizes() *Sizes { return &Sizes{queues: map[Queue]*size{}} }

// Add adds a job with the given work in core-seconds.
func (s *Sizes) Add(q Queue, work float64) {
	if work <= 0 {
		return
	}
	z := s.queues[q]
	if z == nil {
		z = &size{}
		s.queues[q] = z
	}
	z.n++
	weight := max(sizeWeight, 1/float64(z.n))
	x := math.Log(work)
	z.mean += weight * (work - z.mean)
	d := x - z.mu
	z.mu += weight * d
	z.squaredDev = (1 - weight) * (z.squaredDev + weight*d*d)
}

func (s *Sizes) mean(q Queue) float64 {
	if z := s.queues[q]; z != nil {
		return z.mean
	}
	return 0
}

// Large reports whether a job belongs to the largest tenth of its queue.
func (s *Sizes) Large(q Queue, work float64) bool {
	z := s.queues[q]
	return z != nil && z.n >= minSizes && math.Log(max(work, 1e-9)) > z.mu+largeQuantile*math.Sqrt(z.squaredDev)
}
