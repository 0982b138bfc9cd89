package executor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/pacing"
)

// newSession returns a session of an agent without a connection.
func newSession(clock oleandervalve.Clock) *session {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &session{
		agent:  &Agent{options: Options{Pacing: pacing.Limits{ViolationLimit: 4 * time.Second, ThrottleDelay: 100 * time.Millisecond}, Clock: clock, Log: logrus.NewEntry(log)}},
		traits: map[runKey]dispatch.RunHints{}, pacers: map[oleandervalve.KindName]*pacing.Controller{}, paced: map[runKey]int{},
		progress: map[runKey]*progress{}, light: map[contention.Pair]bool{},
	}
}

// Guards against best-effort runs that stay at a low speed limit, or become
// unthrottled at once, when the leader changes: the next session continues with the
// limit that the executor has, and recovers from there.
func TestPaceOutlivesTheSession(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	fill := runKey{oleandervalve.TaskName{Job: "f"}, 1}
	serve := runKey{oleandervalve.TaskName{Job: "s"}, 1}
	look := func(tail int64) oleandervalve.Holding {
		return oleandervalve.Holding{Running: []oleandervalve.RunningTask{{Task: fill.task, Run: 1, Load: 900}, {Task: serve.task, Run: 1, Load: tail}}}
	}
	first := newSession(clock)
	first.traits[fill] = dispatch.RunHints{BestEffort: true, Image: "press"}
	first.traits[serve] = dispatch.RunHints{TargetLatency: 100 * time.Millisecond, Image: "board"}
	orders := first.pace(look(200))
	is.Equal(len(orders), 1)
	first.paced[fill] = orders[0].percent
	low := orders[0].percent
	is.True(low < pacing.Unthrottled)

	next := newSession(clock)
	next.recall(first.paceMemory())
	clock.Advance(time.Second)
	is.Equal(len(next.pace(look(80))), 0) // within the band: the limit stays
	clock.Advance(time.Second)
	orders = next.pace(look(20))
	is.Equal(len(orders), 1)
	is.True(orders[0].percent > low)
	is.True(orders[0].percent < pacing.Unthrottled)
}

// Guards against a run that an earlier process has throttled and that stays
// throttled for ever.
func TestUnknownPaceIsOrderedAnew(t *testing.T) {
	is := is.New(t)
	s := newSession(clockwork.NewFakeClock())
	fill := runKey{oleandervalve.TaskName{Job: "f"}, 1}
	s.traits[fill] = dispatch.RunHints{BestEffort: true, Image: "press"}
	s.paced[fill] = unknownPace
	orders := s.pace(oleandervalve.Holding{Running: []oleandervalve.RunningTask{{Task: fill.task, Run: 1}}})
	is.Equal(len(orders), 1)
	is.Equal(orders[0].percent, pacing.Unthrottled)
}
