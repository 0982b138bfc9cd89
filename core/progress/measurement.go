package progress

import (
	"math"
	"time"
)

const (
	// minPeriod is the minimum time over which a speed is measured.
	minPeriod = 350 * time.Millisecond
	// minProgress is the progress, in percent, from which on a speed is known: progress is listed in
	// whole percents, so less could be an error of reading.
	minProgress = 3
	// maxExpected is the progress, in percent, that a run at the declared speed would have made when a
	// measurement ends with less than minProgress.
	maxExpected = 20
)

// Speed is a measured speed in percent of the declared one.
type Speed struct {
	Percent int
	// Resolution is by how much the speed may be higher, because the progress was too little to be
	// read exactly; otherwise it is 0.
	Resolution int
}

// Measurement measures the speed of one run.
type Measurement struct {
	percent int
	at      time.Time
	speed   Speed
	known   bool
}

// Begin returns a measurement of a run that has completed a share of its work, in percent.
func Begin(now time.Time, percent int) *Measurement { return &Measurement{percent: percent, at: now} }

// Observe takes note of the progress of the run, whose declared run time is given, and returns its
// last measured speed, or false if it is unknown.
func (m *Measurement) Observe(now time.Time, percent int, declared time.Duration) (Speed, bool) {
	elapsed, done := now.Sub(m.at), percent-m.percent
	if elapsed < minPeriod || done < minProgress && elapsed < declared*maxExpected/100 {
		return m.speed, m.known
	}
	perPoint := declared.Seconds() / elapsed.Seconds()
	m.speed, m.known = Speed{Percent: int(float64(done) * perPoint)}, true
	if done < minProgress {
		m.speed.Resolution = int(math.Ceil(perPoint))
	}
	m.percent, m.at = percent, now
	return m.speed, true
}
