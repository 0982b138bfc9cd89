package work

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against jobs whose numbers overflow: they were accepted, and brought down each
// entry that tried to lead with them, or took more room than an executor has.
func TestNumbersThatOverflowAreRefused(t *testing.T) {
	one := Step{Count: 1}
	for name, s := range map[string]Spec{
		"tasks of all steps":       {Steps: []Step{{Count: math.MaxInt/4 + 1}, {Count: math.MaxInt/4 + 1}, {Count: math.MaxInt/4 + 1}, {Count: math.MaxInt/4 + 1}}},
		"tasks of all occurrences": {Steps: []Step{{Count: 4}}, Repeat: math.MaxInt/2 + 1},
		"processors":               {Steps: []Step{{Count: 1, Demand: oleandervalve.Resources{CPU: math.MaxInt64}}}},
		"memory":                   {Steps: []Step{{Count: 1, Demand: oleandervalve.Resources{Memory: math.MaxInt64}}}},
		"accelerators":             {Steps: []Step{{Count: 1, Demand: oleandervalve.Resources{Accelerators: math.MaxInt32}}}},
		"estimate":                 {Steps: []Step{{Count: 1, Estimate: math.MaxInt64}}},
		"target latency":           {Steps: []Step{{Count: 1, TargetLatency: math.MaxInt64}}},
		"interval":                 {Steps: []Step{one}, Repeat: 3, Interval: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(s.Validate() != nil)
		})
	}
}

// Guards against limits that refuse ordinary jobs.
func TestLargeJobsAreAccepted(t *testing.T) {
	is := is.New(t)
	s := Spec{Repeat: 100, Interval: 24 * time.Hour}
	for i := range 20 {
		s.Steps = append(s.Steps, Step{
			Count: 1, Estimate: 12 * time.Hour, TargetLatency: time.Minute,
			Demand: oleandervalve.Resources{CPU: 512_000, Memory: 4 << 40, Accelerators: 64},
		})
		if i > 0 {
			s.Steps[i].After = []int{i - 1}
		}
	}
	is.NoErr(s.Validate())
	s.Repeat++
	is.Equal(fmt.Sprint(s.Validate() != nil), "true") // more than MaxTasks
}
