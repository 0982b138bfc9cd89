package executor

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// Guards against a leader that is not told which start orders wait at the agent, and against
// runs that are listed although they have started.
func TestDelayedStartsAreListed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := newSession(clock)
	s.pendingStarts, s.running, s.listedEnds = map[runKey]*pendingStart{}, map[runKey]bool{}, map[runKey]bool{}
	key := func(j oleandervalve.JobID) runKey { return runKey{oleandervalve.TaskName{Job: j, Index: 3}, 2} }
	receive := func(j oleandervalve.JobID) {
		s.pendingStarts[key(j)] = &pendingStart{receivedAt: s.agent.options.now()}
	}
	ping := func() *peer.Ping {
		var p peer.Ping
		s.addDelayedStarts(s.agent.options.now(), &p)
		return &p
	}
	p := ping()
	is.True(p.ListsDelayedStarts)
	is.Equal(len(p.DelayedStarts), 0)
	for _, j := range []oleandervalve.JobID{"second", "running", "ended"} {
		receive(j)
	}
	clock.Advance(-time.Millisecond)
	receive("first")
	clock.Advance(300 * time.Millisecond)
	receive("late")
	s.running[key("running")], s.listedEnds[key("ended")] = true, true
	is.Equal(*ping(), peer.Ping{}) // the last list is recent
	clock.Advance(300 * time.Millisecond)
	p = ping()
	is.True(p.ListsDelayedStarts)
	is.Equal(p.DelayedStarts, []dispatch.DelayedStart{{Task: key("first").task, Run: 2}, {Task: key("second").task, Run: 2}})
	delete(s.pendingStarts, key("first"))
	clock.Advance(delayedStartsInterval)
	is.Equal(ping().DelayedStarts, []dispatch.DelayedStart{{Task: key("second").task, Run: 2}, {Task: key("late").task, Run: 2}})
}

// Guards against pings that are too large to be sent, so that the session ends, while many start
// orders wait at the agent.
func TestPingWithManyDelayedStartsFitsAFrame(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := newSession(clock)
	s.pendingStarts, s.unsentCheckpoints = map[runKey]*pendingStart{}, map[runKey]string{}
	var p peer.Ping
	for i := range 4000 {
		k := runKey{oleandervalve.TaskName{Job: oleandervalve.JobID(fmt.Sprintf("%016x", i)), Occurrence: 1 << 20, Step: 1 << 10, Index: 1 << 20}, 1 << 30}
		s.pendingStarts[k] = &pendingStart{receivedAt: s.agent.options.now()}
		s.unsentCheckpoints[k] = "0123456789abcdef"
		if i < maxSampled {
			p.Sample.LatencyCritical = append(p.Sample.LatencyCritical, contention.LatencySample{Job: k.task.Job, Image: "0123456789abcdef", TailLatency: 1 << 20, Target: 1 << 20})
			p.Sample.JobSpeeds = append(p.Sample.JobSpeeds, contention.JobSpeed{Job: k.task.Job, Percent: 1 << 10})
		}
	}
	clock.Advance(time.Second)
	p.Checkpoints = s.takeUnsentCheckpoints()
	s.addDelayedStarts(s.agent.options.now(), &p)
	is.True(len(p.DelayedStarts) >= 200)
	_, err := peer.EncodeFrame(&p)
	is.NoErr(err)
}
