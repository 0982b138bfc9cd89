package executor

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

const (
	// proofLogInterval is the time between two log lines about the age of proofs in a session.
	proofLogInterval = 10 * time.Second
	// loggedWithholding is how long a start order is withheld before that is logged.
	loggedWithholding = time.Second
)

// proofAgeBuckets cover the ages from which on starts are withheld, which follow from the bounds of
// the deployment, and end beyond the time for which leases are extended.
var proofAgeBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1200 * time.Millisecond, 1400 * time.Millisecond,
	1600 * time.Millisecond, 1800 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second, 7 * time.Second, 10 * time.Second,
}

// proofAgeMetrics are the age of the proof that starts need when a start is decided, and that just
// before a pong renews it.
type proofAgeMetrics struct{ atStart, atPong tally.Histogram }

func newProofAgeMetrics(s tally.Scope) proofAgeMetrics {
	histogram := func(at string) tally.Histogram {
		return s.Tagged(map[string]string{"at": at}).Histogram("proof_age", proofAgeBuckets)
	}
	return proofAgeMetrics{atStart: histogram("start"), atPong: histogram("pong")}
}

// proofAges describes the age of the proofs for starts of one session in the interval since
// startedAt: the number of pongs, that of pongs that came when starts were already withheld, and
// the largest age. The mutex of the session protects it.
type proofAges struct {
	startedAt     time.Time
	samples, late int
	largest       time.Duration
}

// recordPong records the age of the proof at a pong, before its renewal, and logs the interval if
// it is over and had a proof that was too old for starts. s.mu must be held.
func (s *session) recordPong(now oleandervalve.Instant) {
	if s.startProofAt.IsZero() {
		return
	}
	age := now.Sub(s.startProofAt)
	p := &s.proofAges
	s.agent.proofAgeMetrics.atPong.RecordDuration(age)
	p.samples++
	p.largest = max(p.largest, age)
	if age >= s.agent.startLimits.MaxProofAge {
		p.late++
	}
	if now.Time.Sub(p.startedAt) >= proofLogInterval {
		if p.late > 0 {
			s.logProofAges(now)
		}
		p.startedAt, p.samples, p.late, p.largest = now.Time, 0, 0, 0
	}
}

// logProofAges logs the largest age of the proof in the present interval. s.mu must be held.
func (s *session) logProofAges(now oleandervalve.Instant) {
	p := &s.proofAges
	age := time.Duration(-1)
	if !s.startProofAt.IsZero() {
		age = now.Sub(s.startProofAt)
	}
	s.log().WithFields(logrus.Fields{
		"entry": s.address, "pongs": p.samples, "late": p.late, "largestMs": max(p.largest, age).Milliseconds(), "ageMs": age.Milliseconds(), "intervalMs": now.Time.Sub(p.startedAt).Milliseconds(),
	}).Info("age of the proofs of leadership")
}

// recordProofAge records the age of the proof at a decision about a start. s.mu must be held.
func (s *session) recordProofAge(now oleandervalve.Instant) {
	if !s.startProofAt.IsZero() {
		s.agent.proofAgeMetrics.atStart.RecordDuration(now.Sub(s.startProofAt))
	}
}

// withholding is what keeps a start order from being sent.
type withholding string

const (
	withheldByProof    withholding = "proofTooOld"
	withheldByExecutor withholding = "executorUnconfirmed"
	withheldByLease    withholding = "earlierLease"
	withheldBySlots    withholding = "noStartSlot"
	withheldByContact  withholding = "noContact"
)

// logWithheld logs what withholds a start order, once, after loggedWithholding.
func (s *session) logWithheld(o dispatch.Start, st *pendingStart, by withholding) {
	now := s.agent.options.now()
	waited := now.Sub(st.receivedAt)
	if st.withholdingLogged || waited < loggedWithholding {
		return
	}
	st.withholdingLogged = true
	s.mu.Lock()
	proofAge := time.Duration(-1)
	if !s.startProofAt.IsZero() {
		proofAge = now.Sub(s.startProofAt)
	}
	unconfirmed, inFlight := s.unconfirmed, s.startsInFlight
	s.mu.Unlock()
	s.log().WithFields(logrus.Fields{
		"job": o.Task.Job, "task": o.Task.String(), "run": o.Run, "reason": by, "waitedMs": waited.Milliseconds(), "proofAgeMs": proofAge.Milliseconds(),
		"unconfirmed": unconfirmed, "startsInFlight": inFlight, "entry": s.address,
	}).Info("start order is withheld")
}
