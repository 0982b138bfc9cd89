package executor

import (
	"context"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/following"
	"oleandervalve/io/peer"
)

const (
	// pingInterval is the time between pings. Their answers carry the proofs of leadership.
	pingInterval = 700 * time.Millisecond
	// minPingInterval is the minimum time between a ping and one that asks for a newer proof.
	minPingInterval = 100 * time.Millisecond
)

// sentPing is an unanswered ping. The time at which it was sent dates the proof of
// leadership in its answer.
type sentPing struct {
	sequence uint64
	at       oleandervalve.Instant
}

func (s *session) pingLoop(ctx context.Context) {
	t := s.agent.options.Clock.NewTicker(pingInterval)
	defer t.Stop()
	var inquiry following.Inquiry
	for n := uint64(1); ; n++ {
		s.mu.Lock()
		proofAt := s.proofAt
		sentAt := s.agent.options.now()
		s.pings = append(s.pings, sentPing{n, sentAt})
		sample := s.sample
		s.sample = contention.Sample{}
		checkpoints := s.takeUnsentCheckpoints()
		ping := &peer.Ping{Sequence: n, Sample: sample, Checkpoints: checkpoints, Started: s.takeConfirmed(), ConfirmsStarts: true}
		s.addDelayedStarts(sentAt, ping)
		s.mu.Unlock()
		s.conn.TrySend(ping)
		if !proofAt.IsZero() && inquiry.Ask(sentAt.Sub(proofAt)) {
			go s.checkLeader(ctx)
		}
		if !s.awaitPing(ctx, t.Chan(), sentAt.Time.Add(minPingInterval)) {
			return
		}
	}
}

// awaitPing waits until the next ping is due, which is not before a time if it asks for a newer proof.
// It returns false if ctx is done first.
func (s *session) awaitPing(ctx context.Context, tick <-chan time.Time, notBefore time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.confirmPing:
		return true
	case <-tick:
		return true
	case <-s.wakePing:
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.confirmPing:
		return true
	case <-s.agent.options.Clock.After(notBefore.Sub(s.agent.options.Clock.Now())):
		return true
	}
}

// replacedLeaderError ends a session with an entry that has been replaced as the leader.
type replacedLeaderError struct{ Leader string }

func (e *replacedLeaderError) Error() string {
	return "the table names another leader: follow " + e.Leader
}

// checkLeader ends the session if the table names another entry as the leader.
func (s *session) checkLeader(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, leaderLookupTimeout)
	defer cancel()
	address, err := s.agent.options.LeaderAddress(call)
	if err != nil {
		s.log().WithError(err).Info("leader has sent no new proof, and the table can't be asked who leads")
		return
	}
	if address != "" && address != s.address {
		s.cancel(&replacedLeaderError{address})
	}
}

func (s *session) handlePong(p *peer.Pong) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pings) > 0 {
		first := s.pings[0]
		if first.sequence > p.Sequence {
			return
		}
		s.pings = s.pings[1:]
		if first.sequence == p.Sequence {
			s.recordPong(s.agent.options.now())
			s.leaderAskedAt = first.at.Time
			close(s.leaderAnswered)
			s.leaderAnswered = make(chan struct{})
			if at := first.at.Add(-p.ProofAge); at.After(s.proofAt) {
				s.proofAt = at
			}
			if at := first.at.Add(-max(p.ProofAge, p.StartProofAge)); at.After(s.startProofAt) {
				s.startProofAt = at
				close(s.proofRenewed)
				s.proofRenewed = make(chan struct{})
			}
		}
	}
}
