package executor

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
)

// newAgent returns an agent that is not running.
func newAgent(o Options) *Agent {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	o.Log, o.Scope = logrus.NewEntry(log), tally.NoopScope
	if o.CancelDelay == 0 {
		o.CancelDelay = 3 * time.Second
	}
	return New(o)
}

// Guards against an agent that is suspended with an order in its queue and sends it when it
// wakes up, after the leader has moved the run to another executor: the monotonic clock
// doesn't show the suspension.
func TestLeaseEndsWithProofDuringSuspension(t *testing.T) {
	for _, c := range []struct {
		name      string
		running   time.Duration
		suspended time.Duration
		want      oleandervalve.ExecutorTime
	}{
		{"fresh proof", 0, 0, oleandervalve.ExecutorTime(6 * time.Second)},
		{"old proof", 5 * time.Second, 0, oleandervalve.ExecutorTime(5*time.Second + 2*time.Second)},
		{"suspended shortly", time.Second, 4 * time.Second, oleandervalve.ExecutorTime(time.Second + 2*time.Second)},
		{"suspended for longer than a proof is valid", time.Second, 7 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, suspended := clockwork.NewFakeClock(), time.Duration(0)
			start := clock.Now()
			a := newAgent(Options{
				Clock: clock, Uptime: func() time.Duration { return clock.Since(start) + suspended },
				MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second,
			})
			s := &session{agent: a, clockAt: start, proofAt: a.options.now()}
			clock.Advance(c.running)
			suspended = c.suspended
			is.Equal(s.leaseUntil(a.options.now()), c.want)
		})
	}
}

// unnamedExecutor has any id and does not name its start.
type unnamedExecutor struct{ oleandervalve.ExecutorClient }

func (unnamedExecutor) Identify(context.Context, oleandervalve.ExecutorID, oleandervalve.FencingToken) (oleandervalve.ExecutorTime, int64, error) {
	return 0, 0, nil
}

// Guards against an executor that starts again after its time of day has jumped back and
// then gets no work for good, because its announcements look older than those of its
// earlier life. Also guards against late announcements of an earlier life that are taken
// for the present one.
func TestExecutorRestartsWithEarlierTimeOfDay(t *testing.T) {
	is := is.New(t)
	a := newAgent(Options{Clock: clockwork.NewFakeClock(), MaxLease: 10 * time.Second, Executor: unnamedExecutor{}})
	announce := func(startedAt int64, sequence uint64) int64 {
		is.NoErr(a.StatusAnnounced(oleandervalve.ExecutorStatus{
			Incarnation: oleandervalve.Incarnation{ID: "i-1", StartedAt: startedAt}, State: oleandervalve.ExecutorReady, Sequence: sequence,
		}))
		return a.status.Incarnation.StartedAt
	}
	is.Equal(announce(20_000, 5), int64(20_000))
	is.Equal(announce(10_000, 9), int64(20_000)) // late, of an earlier life
	a.recordPolledStart(11_000)                  // the executor itself names its start
	is.Equal(announce(10_000, 10), int64(20_000))
	is.Equal(announce(11_000, 1), int64(11_000))
	is.Equal(announce(30_000, 1), int64(30_000))
}
