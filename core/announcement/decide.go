package announcement

import (
	"slices"
	"time"

	"oleandervalve"
)

// Answer is what the executor says when it is addressed as an announced incarnation.
type Answer struct {
	Identity Identity
	// Uptime is the time on the executor's clock, which starts with it; 0 means unknown.
	Uptime time.Duration
}

// Identity tells whether an executor is the announced incarnation.
type Identity int

const (
	// NoAnswer means that the executor has given no answer.
	NoAnswer Identity = iota
	// Named means that the executor has the announced id, and has not named its start.
	Named
	// Confirmed means that the executor is the announced incarnation.
	Confirmed
	// Refuted means that the executor is another incarnation.
	Refuted
)

// Verdict is the decision about an announcement.
type Verdict string

const (
	// Followed means that the announcement is the newest status of the executor.
	Followed Verdict = "followed"
	// Outdated means that a newer announcement has arrived before.
	Outdated Verdict = "outdated"
	// Foreign means that the announcement is not of the executor of the agent.
	Foreign Verdict = "foreign"
	// Unconfirmed means that the executor must confirm the announcement first.
	Unconfirmed Verdict = "unconfirmed"
	// Implausible means that the executor can't have sent as many announcements.
	Implausible Verdict = "implausible"
)

// Current is the announcement that an agent follows.
type Current struct {
	Status oleandervalve.ExecutorStatus
	// At is when the announcement arrived; the zero time means that there is none.
	At time.Time
	// PolledStart is the start, in milliseconds since 1970, that the executor has named in
	// an answer in contradiction to its announcement; 0 means none.
	PolledStart int64
	// Services are those that the configuration names; nil if it isn't known. They may be outdated.
	Services []oleandervalve.ServiceName
}

const (
	// serviceTimeout is the time without announcements of an incarnation after which one with another
	// service is followed.
	serviceTimeout = 5 * time.Second
	// minInterval is the shortest interval at which an executor sends announcements for long.
	minInterval = 10 * time.Millisecond
	// maxBurst is the number of announcements that it may send at once, such as repetitions
	// of one that got no answer.
	maxBurst = 1000
)

// Decide returns the verdict on an announcement that arrives while an agent follows another
// one. answer is used only if the two name different incarnations.
func Decide(now time.Time, c Current, next oleandervalve.ExecutorStatus, answer Answer) Verdict {
	switch {
	case c.At.IsZero() || next.Incarnation != c.Status.Incarnation:
		if answer.Uptime > 0 && next.Sequence > maxAnnouncements(answer.Uptime) {
			return Implausible
		}
		return decideIncarnation(c, next.Incarnation, answer.Identity)
	case next.Service != c.Status.Service:
		return decideService(now, c, next.Service)
	case next.Sequence < c.Status.Sequence:
		return Outdated
	case next.Sequence-c.Status.Sequence > maxAnnouncements(now.Sub(c.At)):
		return Implausible
	}
	return Followed
}

// decideService returns the verdict on an announcement of the present incarnation with another service.
// An incarnation has one service, so one of the two is of another writer, which counts its own
// announcements.
func decideService(now time.Time, c Current, next oleandervalve.ServiceName) Verdict {
	present, known := slices.Contains(c.Services, c.Status.Service), slices.Contains(c.Services, next)
	if known != present {
		if known {
			return Followed
		}
		return Foreign
	}
	if now.Sub(c.At) < serviceTimeout {
		return Foreign
	}
	return Followed
}

// maxAnnouncements returns the largest number of announcements that an executor sends in a time.
func maxAnnouncements(d time.Duration) uint64 { return maxBurst + uint64(max(0, d)/minInterval) }

// decideIncarnation returns the verdict on an announcement of another incarnation than that of
// the current announcement. The time of day that dates the starts of executors may have jumped
// back, so what the executor itself says goes before it.
func decideIncarnation(c Current, next oleandervalve.Incarnation, said Identity) Verdict {
	switch {
	case said == Refuted:
		return Foreign
	case said == NoAnswer && !c.At.IsZero():
		// Nothing can be started there before the executor answers.
		return Unconfirmed
	case said == Confirmed || c.At.IsZero():
		return Followed
	case next.StartedAt < c.Status.Incarnation.StartedAt && next.StartedAt != c.PolledStart:
		return Outdated
	}
	return Followed
}
