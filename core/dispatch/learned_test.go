package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// Guards against repeated interference with latency-critical tasks after each change of
// leader because the new leader doesn't know the interference between images.
func TestNewLeaderRestoresLearnedModel(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	for range 2 * minRuns {
		c.dispatcher.learnRunTime("f", time.Second, 3*time.Second)
	}
	pair := contention.Pair{BestEffort: "press", LatencyCritical: "board"}
	value := c.dispatcher.LearnedRow()
	next := New(Options{})
	is.True(!next.contention.Interferes(pair))
	is.NoErr(next.RestoreLearned(oleandervalve.Row{Key: LearnedKey, Value: value, Version: 7}))
	is.True(next.contention.Interferes(pair))
	difference := next.contention.Coefficient(pair) - c.dispatcher.contention.Coefficient(pair)
	is.True(difference < 0.01 && difference > -0.01)
	is.Equal(next.runTimeModels["f"].expected(time.Second), c.dispatcher.runTimeModels["f"].expected(time.Second))
}

// Guards against a new leader that fails to start because of a damaged row, and against
// rows that the table refuses because of their size.
func TestLearnedRowIsBoundedAndChecked(t *testing.T) {
	is := is.New(t)
	d := New(Options{})
	is.Equal(d.LearnedRow(), nil)
	is.True(d.RestoreLearned(oleandervalve.Row{Key: LearnedKey, Value: []byte("?"), Version: 1}) != nil)
	damaged := learned{Contention: []contention.RegressionState{
		{Image: "a", Images: []oleandervalve.KindName{"x", "x"}, Gram: [][]float32{{1, 2}, {2, 1}}, Moments: []float32{1, 1}},
		{Image: "b", Images: []oleandervalve.KindName{"x"}, Gram: [][]float32{{1, 2}}, Moments: []float32{1}},
		{Image: "c", Images: []oleandervalve.KindName{"x"}, Moments: []float32{1}},
	}}
	is.NoErr(d.RestoreLearned(oleandervalve.Row{Key: LearnedKey, Value: work.Encode(damaged), Version: 1}))
	is.Equal(len(d.contention.Snapshot()), 0)

	now := time.Unix(1000, 0)
	for n := range 20 {
		for _, a := range []oleandervalve.AgentID{"x", "y"} {
			now = now.Add(100 * time.Millisecond)
			s := contention.Sample{}
			for i := range 40 {
				s.BestEffort = append(s.BestEffort, contention.BestEffortUsage{Image: oleandervalve.KindName(fmt.Sprintf("fill-%03d", n%2*40+i)), Used: 100})
				s.LatencyCritical = append(s.LatencyCritical, contention.LatencySample{Job: oleandervalve.JobID(fmt.Sprint(i)), Image: oleandervalve.KindName(fmt.Sprintf("serve-%03d", i)), TailLatency: 40, Target: 150})
			}
			d.contention.Observe(now, a, 16000, s)
		}
	}
	is.True(len(work.Encode(learned{Contention: d.contention.Snapshot()})) > maxLearnedBytes)
	value := d.LearnedRow()
	is.True(len(value) > 0)
	is.True(len(value) <= maxLearnedBytes)
}
