package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve/io/peer"
)

// learnInterval is the time between two questions to the leader which executor an earlier process had.
const learnInterval = 300 * time.Millisecond

// awaitExecutor waits until an executor has announced itself, or for a while if the leader is to be
// asked again which executor an earlier process of the agent had. It asks before a session begins, as a
// connection to the leader replaces earlier ones.
func (a *Agent) awaitExecutor(ctx context.Context) {
	var retry <-chan time.Time
	if a.mayHaveOrdersOfEarlierProcess() && !a.learnExecutor(ctx) {
		retry = a.options.Clock.After(learnInterval)
	}
	select {
	case <-ctx.Done():
	case <-a.statusReceived:
	case <-retry:
	}
}

// mayHaveOrdersOfEarlierProcess reports whether start orders of an earlier process may be in transit to
// an executor that isn't known.
func (a *Agent) mayHaveOrdersOfEarlierProcess() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.options.FirstStart && a.fence.earlier.ID == "" && a.unanswered.inTransit()
}

// learnExecutor asks the leader which executor an earlier process of the agent had. It returns false if
// the leader doesn't name one.
func (a *Agent) learnExecutor(ctx context.Context) bool {
	admit, err := a.askLeader(ctx)
	if err != nil {
		a.options.Log.WithError(err).Debug("leader can't be asked for the executor of an earlier process")
		return false
	}
	if admit.Executor == nil {
		return false
	}
	a.mu.Lock()
	a.fence.earlier = *admit.Executor
	a.fence.tokens.Admitted(admit.Token)
	a.fence.begin()
	a.mu.Unlock()
	a.options.Log.WithFields(logrus.Fields{"executor": admit.Executor.ID, "born": admit.Executor.StartedAt}).Info("leader has named the executor of an earlier process")
	return true
}

// knowsExecutor reports whether an executor has announced itself.
func (a *Agent) knowsExecutor() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statusKnown
}

// askLeader is admitted by the leader without a session.
func (a *Agent) askLeader(ctx context.Context) (*peer.Admit, error) {
	address := a.findLeader(ctx)
	if address == "" {
		return nil, errors.New("no entry address is known")
	}
	call, cancel := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancel()
	c, m, err := a.join(call, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	admit, ok := m.(*peer.Admit)
	if !ok {
		return nil, &peer.FrameError{Detail: "expected an admission, got " + string(m.Type())}
	}
	return admit, nil
}
