package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Guards against executors that are taken for slow because the run time of one job is
// declared much too short: its tasks were moved among them without end, so that the job
// neither completed nor failed, and the executors got no other work. Also guards against an
// executor that is not found slow because all run times are declared too short.
func TestSlowExecutorIsFoundByJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// here and elsewhere are the speeds of a job on the executor and on two others.
		here, elsewhere int
		// resolution is by how much the speed here may be higher.
		resolution int
		slow       bool
	}{
		{"run time declared much too short", 2, 2, 0, false},
		{"run time declared much too short, and slow", 0, 8, 0, true},
		{"as declared", 95, 100, 0, false},
		{"half as fast", 50, 100, 0, false},
		{"as declared, and slow", 15, 100, 0, true},
		{"as declared, and stalled", 0, 100, 0, true},
		{"progress too little to be read", 0, 2, 3, false},
		{"progress too little to be read, and stalled", 0, 100, 10, true},
		{"faster than others", 400, 100, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(t, 1, 6)
			cluster.submit("j", work.Queue{Name: "q", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 3, Demand: oleandervalve.Resources{CPU: 1000}}}})
			for _, id := range cluster.order[3:] {
				cluster.dispatcher.LoadSampled(cluster.now, id, contention.Sample{Speed: 100, MeasuredJobs: 3})
			}
			sample := func(percent, resolution int) contention.Sample {
				return contention.Sample{Speed: percent, MeasuredJobs: 1, JobSpeeds: []contention.JobSpeed{{Job: "j", Percent: percent, Resolution: resolution}}}
			}
			for range 2 {
				for _, id := range cluster.order[1:3] {
					cluster.dispatcher.LoadSampled(cluster.now, id, sample(c.elsewhere, 0))
				}
				cluster.dispatcher.LoadSampled(cluster.now, cluster.order[0], sample(c.here, c.resolution))
			}
			is.Equal(cluster.dispatcher.agents[cluster.order[0]].isSlow(cluster.now), c.slow)
			for _, id := range cluster.order[1:3] {
				is.True(!cluster.dispatcher.agents[id].isSlow(cluster.now))
			}
		})
	}
}
