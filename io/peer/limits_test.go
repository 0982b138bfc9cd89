package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against a valid job that is too large for a message, which would end the connection
// between the entry that has accepted it and the leader, with the calls of all other callers.
func TestLargestJobFitsAFrame(t *testing.T) {
	is := is.New(t)
	name := strings.Repeat("n", work.MaxName)
	s := work.Spec{Payload: strings.Repeat("p", work.MaxPayload), Repeat: 1, StartAt: time.Unix(1e9, 0), Interval: time.Hour}
	var after []int
	for i := range work.MaxSteps {
		s.Steps = append(s.Steps, work.Step{
			Count: work.MaxTasks / work.MaxSteps, Demand: oleandervalve.Resources{CPU: 1e9, Memory: 1 << 50, Accelerators: 1 << 16}, Estimate: time.Hour,
			After: after, Checkpointing: true, Gang: true, SameRack: true, Label: name, DataRack: oleandervalve.RackID(name), MaxPerExecutor: 1 << 40,
			AllowCopies: true, LongRunning: true, Image: oleandervalve.KindName(name), TargetLatency: time.Hour, BestEffort: true, MaxUnavailable: 1 << 40,
		})
		after = append(after, i)
	}
	last := &s.Steps[work.MaxSteps-1]
	for range work.MaxDependencies - work.MaxSteps*(work.MaxSteps-1)/2 {
		last.After = append(last.After[:len(last.After):len(last.After)], 0)
	}
	is.NoErr(s.Validate())
	_, err := EncodeFrame(&JobCall{ID: 1, Kind: CallSubmit, Job: "5c0e7a21d94b36f8", Queue: work.Queue{Name: work.QueueName(name), Service: oleandervalve.ServiceName(name)}, Spec: s})
	is.NoErr(err)
	is.True(len(work.Encode(s)) <= 64<<10) // fits into a row
}
