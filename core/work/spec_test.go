package work

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// Guards against jobs beyond a limit that are accepted, which may be too large for a row or a
// message, against jobs at a limit that are refused, and against errors that don't name it.
func TestLimitsOfJobs(t *testing.T) {
	for _, tt := range []struct {
		name  string
		spec  func(n int) Spec
		limit int
		want  string
	}{
		{"payload", func(n int) Spec { return Spec{Payload: strings.Repeat("p", n), Steps: []Step{{Count: 1}}} }, MaxPayload, "at most 4000 bytes"},
		{"steps", func(n int) Spec {
			s := Spec{Steps: make([]Step, n)}
			for i := range s.Steps {
				s.Steps[i].Count = 1
			}
			return s
		}, MaxSteps, "1 to 64 steps"},
		{"tasks of a step", func(n int) Spec { return Spec{Steps: []Step{{Count: n}}} }, MaxTasks, "at most 2000 tasks"},
		{"tasks of all steps", func(n int) Spec { return Spec{Steps: []Step{{Count: 1}, {Count: n - 1}}} }, MaxTasks, "at most 2000 tasks"},
		{"occurrences", func(n int) Spec { return Spec{Steps: []Step{{Count: 1}}, Repeat: n} }, MaxTasks, "fewer occurrences"},
		{"label", func(n int) Spec { return Spec{Steps: []Step{{Count: 1, Label: strings.Repeat("l", n)}}} }, MaxName, "at most 200 bytes"},
		{"rack", func(n int) Spec {
			return Spec{Steps: []Step{{Count: 1, DataRack: oleandervalve.RackID(strings.Repeat("r", n))}}}
		}, MaxName, "at most 200 bytes"},
		{"image", func(n int) Spec {
			return Spec{Steps: []Step{{Count: 1, Image: oleandervalve.KindName(strings.Repeat("i", n))}}}
		}, MaxName, "at most 200 bytes"},
		{"dependencies", func(n int) Spec {
			return Spec{Steps: []Step{{Count: 1}, {Count: 1, After: make([]int, n)}}}
		}, MaxDependencies, "at most 4096 entries"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(tt.spec(tt.limit).Validate())
			err := tt.spec(tt.limit + 1).Validate()
			var invalid *oleandervalve.InvalidError
			is.True(errors.As(err, &invalid))
			is.True(strings.Contains(invalid.Remedy, tt.want))
		})
	}
}
