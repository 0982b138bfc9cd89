package batching

import "time"

// Limits bound the commits.
type Limits struct {
	// MinTimeout and MaxTimeout bound the timeout of a commit.
	MinTimeout, MaxTimeout time.Duration
	// MaxBytes limits the values of a commit.
	MaxBytes int
}

const (
	// transferTime is how long the values of a commit may take to be sent. It is short, as nothing
	// else is committed meanwhile, the renewal of leadership included.
	transferTime = 400 * time.Millisecond
	// transferMargin is how many times the expected transfer time the timeout allows for, as
	// other connections share the link.
	transferMargin = 3
	// timeoutFactor is the ratio of the timeout of a commit to the average duration of commits,
	// apart from the time that the transfer takes.
	timeoutFactor = 8
	// measuredBytes is the size from which on a commit shows the rate of the link.
	measuredBytes = 8 << 10
	// initialRate is the assumed rate before a commit has shown it, and minRate the lowest one,
	// in bytes of values per second. A table that is slow, whatever the size, looks like a thin
	// link while all commits are large.
	initialRate = 150 << 10
	minRate     = 96 << 10
)

// Pace is what is known of the duration of commits. It is not safe for concurrent use.
type Pace struct {
	limits Limits
	// latency is the average duration of small commits.
	latency time.Duration
	// average is the average duration of all commits.
	average time.Duration
	// rate is the rate at which values are sent, in bytes per second.
	rate float64
}

// New returns a Pace for a link and a table that have not been measured.
func New(l Limits) *Pace {
	return &Pace{limits: l, average: l.MinTimeout / timeoutFactor, latency: l.MinTimeout / timeoutFactor, rate: initialRate}
}

// MaxBytes returns how large the values of the next commit may be.
func (p *Pace) MaxBytes() int {
	return min(int(p.rate*transferTime.Seconds()), p.limits.MaxBytes)
}

// Timeout returns the timeout of a commit with values of the given size.
func (p *Pace) Timeout(bytes int) time.Duration {
	transfer := time.Duration(transferMargin * float64(bytes) / p.rate * float64(time.Second))
	return min(max(p.limits.MinTimeout, timeoutFactor*p.average)+transfer, p.limits.MaxTimeout)
}

// Answered records the duration of a commit with values of the given size.
func (p *Pace) Answered(bytes int, took time.Duration) {
	p.average = (7*p.average + took) / 8
	if bytes < measuredBytes {
		p.latency = (3*p.latency + took) / 4
		return
	}
	measured := float64(bytes) / max(took-p.latency, time.Millisecond).Seconds()
	// A higher rate is believed step by step, as the commit may have been sent in a calm moment.
	p.rate = max(min(measured, 2*p.rate), minRate)
}

// Unanswered records that a commit with values of the given size had no answer in time.
func (p *Pace) Unanswered(bytes int) {
	if bytes >= measuredBytes {
		p.rate = max(p.rate/2, minRate)
	}
}
