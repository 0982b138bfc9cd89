package executor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/leasebound"
)

// meet returns the bound of the executor's lease at the beginning of a session, whose first poll
// was answered.
func (a *Agent) meet(present oleandervalve.Incarnation, uptime time.Duration, sent, answered time.Time) leasebound.Bound {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordFenced(present, uptime)
	m := leasebound.Meeting{Earlier: a.sessionIncarnation, Known: a.leaseBound, Present: present, FirstStart: a.options.FirstStart, Uptime: uptime, SentAt: sent, AnsweredAt: answered}
	a.sessionIncarnation, a.leaseBound = present, a.leaseLimits().Meet(m)
	if wait := a.leaseBound.ReadyAt(a.options.ProofLifetime).Sub(answered); wait > 0 && m.Earlier != present {
		a.options.Log.WithFields(logrus.Fields{"executor": present.ID, "born": present.StartedAt, "earlierBorn": m.Earlier.StartedAt, "uptimeMs": uptime.Milliseconds(), "waitMs": wait.Milliseconds()}).Info("executor gets no starts until calls to its earlier incarnation can't prolong their leases")
	}
	return a.leaseBound
}

func (a *Agent) leaseLimits() leasebound.Limits {
	return leasebound.Limits{Requested: a.leaseDuration, Granted: a.options.MaxLease}
}

// recovering returns for how long the executor still gets no starts because calls to its earlier
// incarnation may prolong their leases.
func (s *session) recovering() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseBound.ReadyAt(s.agent.options.ProofLifetime).Sub(s.agent.options.Clock.Now())
}

// reportable returns a status as the leader is told it.
func (s *session) reportable(st oleandervalve.ExecutorStatus) oleandervalve.ExecutorStatus {
	if st.State == oleandervalve.ExecutorReady && s.recovering() > 0 {
		st.State = oleandervalve.ExecutorRecovering
	}
	return st
}

// reportRecovery tells the leader when the executor gets starts again.
func (s *session) reportRecovery(ctx context.Context) {
	for wait := s.recovering(); wait > 0; wait = s.recovering() {
		if !s.waitUntil(ctx, s.agent.options.Clock.Now().Add(wait)) {
			return
		}
		s.agent.mu.Lock()
		if st := s.agent.status; st.Incarnation == s.status.Incarnation {
			s.reportStatus(st)
		}
		s.agent.mu.Unlock()
	}
}
