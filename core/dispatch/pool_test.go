package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// Guards against a task that waits beside free capacity because all executors of the kind that it
// needs are paused, which are few among all, and against pauses of one service or kind that end those
// of another.
func TestPausesAreLimitedForEachPool(t *testing.T) {
	const many, few = 8, 3
	for _, tt := range []struct {
		name string
		// slow is the number of slow executors of the small pool and of the large one.
		slowFew, slowMany int
		// label and service are those of the task.
		label   string
		service oleandervalve.ServiceName
		want    oleandervalve.AgentID // the first executor that is not paused, or any if all may be used
	}{
		{"small pool is slow", few, 0, "b", "press", "agent-00"},
		{"small pool has a slow executor", 1, 0, "b", "press", "agent-01"},
		{"large pool isn't concerned", few, 1, "a", "press", "agent-04"},
		{"other service isn't concerned", few, many, "", "heat", "agent-12"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, many+few+few)
			d := c.dispatcher
			for i, id := range c.order {
				a := d.agents[id]
				switch {
				case i < few:
					a.status.Labels = []string{"b", "r0"}
				case i >= many+few:
					a.status.Service = "heat"
				}
				if i < tt.slowFew || i >= few && i < few+tt.slowMany || tt.service == "heat" && i == many+few {
					a.slowUntil = c.now.Add(time.Hour)
				}
			}
			c.submit("j", work.Queue{Name: "q", Service: tt.service}, work.Spec{Steps: []work.Step{{Count: 1, Label: tt.label, LongRunning: true, Demand: oleandervalve.Resources{CPU: 1000}}}})
			for _, id := range c.order {
				if len(d.agents[id].runs) > 0 {
					is.Equal(id, tt.want)
					return
				}
			}
			t.Fatal("the task waits beside free capacity")
		})
	}
}
