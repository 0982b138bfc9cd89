package executor

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/pacing"
	"oleandervalve/core/progress"
)

// newSession returns a session without a connection to a leader.
func newSession(clock oleandervalve.Clock) *session {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &session{
		agent: &Agent{options: Options{Pacing: pacing.Limits{ViolationLimit: 4 * time.Second, ThrottleDelay: 100 * time.Millisecond}, Clock: clock, Log: logrus.NewEntry(log)}},
		hints: map[runKey]dispatch.RunHints{}, controllers: map[oleandervalve.KindName]*pacing.Controller{}, speedLimits: map[runKey]int{},
		progress: map[runKey]*progress.Measurement{}, nonInterfering: map[contention.Pair]bool{},
	}
}

// Guards against a change of leader after which best-effort runs stay at a low speed
// limit or become unthrottled at once. The next session must start from the limit that
// the executor applies, and raise it in steps.
func TestSpeedLimitsSurviveChangeOfLeader(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	bestEffort := runKey{oleandervalve.TaskName{Job: "f"}, 1}
	latencyCritical := runKey{oleandervalve.TaskName{Job: "s"}, 1}
	pollResult := func(tailLatency int64) oleandervalve.PollResult {
		return oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: bestEffort.task, Run: 1, Load: 900}, {Task: latencyCritical.task, Run: 1, Load: tailLatency}}}
	}
	first := newSession(clock)
	first.hints[bestEffort] = dispatch.RunHints{BestEffort: true, Image: "press"}
	first.hints[latencyCritical] = dispatch.RunHints{TargetLatency: 100 * time.Millisecond, Image: "board"}
	orders := first.updateSpeedLimits(pollResult(200))
	is.Equal(len(orders), 1)
	first.speedLimits[bestEffort] = orders[0].percent
	low := orders[0].percent
	is.True(low < pacing.Unthrottled)

	next := newSession(clock)
	next.restoreThrottleState(first.throttleState())
	clock.Advance(time.Second)
	is.Equal(len(next.updateSpeedLimits(pollResult(80))), 0) // within the band: the limit stays
	clock.Advance(time.Second)
	orders = next.updateSpeedLimits(pollResult(20))
	is.Equal(len(orders), 1)
	is.True(orders[0].percent > low)
	is.True(orders[0].percent < pacing.Unthrottled)
}

// Guards against a run that stays throttled for ever because an earlier agent process
// throttled it.
func TestUnknownSpeedLimitIsSetAgain(t *testing.T) {
	is := is.New(t)
	s := newSession(clockwork.NewFakeClock())
	bestEffort := runKey{oleandervalve.TaskName{Job: "f"}, 1}
	s.hints[bestEffort] = dispatch.RunHints{BestEffort: true, Image: "press"}
	s.speedLimits[bestEffort] = unknownSpeedLimit
	orders := s.updateSpeedLimits(oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: bestEffort.task, Run: 1}}})
	is.Equal(len(orders), 1)
	is.Equal(orders[0].percent, pacing.Unthrottled)
}

// deafExecutor carries out speed limits without an answer.
type deafExecutor struct{ fakeExecutor }

func (*deafExecutor) SetSpeedLimit(context.Context, oleandervalve.ExecutorID, oleandervalve.TaskName, oleandervalve.RunNumber, int, oleandervalve.FencingToken) error {
	return &oleandervalve.UnknownOutcomeError{Operation: "pace"}
}

// Guards against a run that keeps a speed limit for good because the order that set it had no
// answer, and the next limit is the one before.
func TestUnansweredSpeedLimitIsSetAgain(t *testing.T) {
	is := is.New(t)
	s := newSession(clockwork.NewFakeClock())
	s.agent.options.Executor = &deafExecutor{}
	bestEffort := runKey{oleandervalve.TaskName{Job: "f"}, 1}
	s.hints[bestEffort] = dispatch.RunHints{BestEffort: true, Image: "press"}
	s.sendSpeedLimit(context.Background(), speedLimitOrder{bestEffort, 10})
	result := oleandervalve.PollResult{Running: []oleandervalve.RunningTask{{Task: bestEffort.task, Run: 1}}}
	is.Equal(s.updateSpeedLimits(result), []speedLimitOrder{{bestEffort, pacing.Unthrottled}})
	next := newSession(clockwork.NewFakeClock())
	next.restoreThrottleState(s.throttleState())
	is.Equal(next.updateSpeedLimits(result), []speedLimitOrder{{bestEffort, pacing.Unthrottled}})
}
