package progress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// measure returns the speeds that are measured of a run of a task that takes runTime at full speed and
// runs at a share of it, and how long it takes until a speed is known.
func measure(declared, runTime time.Duration, share float64) (speeds []Speed, known time.Duration) {
	const pollInterval = 300 * time.Millisecond
	began := time.Unix(1000, 0)
	m := Begin(began, 0)
	for elapsed := pollInterval; elapsed < runTime; elapsed += pollInterval {
		percent := int(100 * share * elapsed.Seconds() / runTime.Seconds())
		if s, ok := m.Observe(began.Add(elapsed), percent, declared); ok {
			if len(speeds) == 0 {
				known = elapsed
			}
			speeds = append(speeds, s)
		}
	}
	return speeds, known
}

// Guards against long tasks whose speed is taken for almost none, because their progress in a short
// time is less than what executors list, and against slow ones that are not found.
func TestSpeedOfTasksOfAnyLength(t *testing.T) {
	for _, runTime := range []time.Duration{1700 * time.Millisecond, 10 * time.Second, time.Minute, 4 * time.Minute, time.Hour} {
		t.Run(runTime.String(), func(t *testing.T) {
			is := is.New(t)
			speeds, known := measure(runTime, runTime, 1)
			is.True(len(speeds) > 0)
			is.True(known <= max(2*minPeriod, runTime*5/100))
			for _, s := range speeds {
				is.True(s.Percent >= 60 && s.Percent <= 140) // an error of one percent of three
				is.Equal(s.Resolution, 0)
			}
			for _, share := range []float64{0, 0.125} {
				speeds, known = measure(runTime, runTime, share)
				is.True(len(speeds) > 0)
				is.True(known <= max(2*minPeriod, runTime*25/100))
				for _, s := range speeds {
					is.True(s.Percent+s.Resolution < 50)
				}
			}
		})
	}
}

// Guards against a speed that is taken for none although the run time was declared much too short, so
// that the progress is too little to be read.
func TestSpeedOfTaskDeclaredTooShort(t *testing.T) {
	is := is.New(t)
	speeds, _ := measure(time.Second, 4*time.Minute, 1)
	is.True(len(speeds) > 0)
	for _, s := range speeds {
		is.True(float64(s.Percent+s.Resolution) >= 100.0/240)
	}
}
