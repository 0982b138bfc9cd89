package dispatch

import (
	"testing"
	"time"

	"oleandervalve/core/work"
)

// Guards against a job of many steps that all depend on each other: to find the longest of
// all its paths took longer than any leader's lease, and the next leader loaded it again.
func TestJobOfManyPathsDoesNotBlockLeaders(t *testing.T) {
	s := work.Spec{}
	for i := range work.MaxSteps {
		st := work.Step{Count: 1, Estimate: time.Second}
		for n := range i {
			st.After = append(st.After, n, n)
		}
		s.Steps = append(s.Steps, st)
	}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := newCluster(t, 1, 1)
		c.submit("j", work.Queue{Name: "q", Service: "press", Stretch: 2}, s)
		c.step()
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the leader is still looking for the longest path")
	}
}
