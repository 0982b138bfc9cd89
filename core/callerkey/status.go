package callerkey

import (
	"net/http"

	"oleandervalve"
)

// ResponseStatus returns the HTTP status for a result: the endpoint's own if
// it was answered, else one by which the caller can tell what to do next.
func (r Result) ResponseStatus() int {
	switch r.Outcome {
	case oleandervalve.OutcomeAnswered:
		return r.Execution.HTTPStatus
	case oleandervalve.OutcomeNotRun:
		return notRunStatus(r.Reason)
	}
	switch r.Reason {
	case ReasonKeyPending, ReasonKeyMoving, ReasonAnswerSize:
		return http.StatusConflict
	case ReasonKeyNoReply:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func notRunStatus(r oleandervalve.Reason) int {
	switch r {
	case ReasonKeyAhead, ReasonKeyInvalid:
		return http.StatusBadRequest
	case ReasonKeyBody:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// Counters count a home's answers since it started.
type Counters struct {
	Fresh, Pending, Done, Lost, Mismatch, Refused, Moving, NotHome uint64
	// Answered, NotRun and Unknown count the outcomes that were recorded.
	Answered, NotRun, Unknown uint64
	// Full counts the fresh keys refused for lack of memory; they are in Refused too.
	Full uint64
	// TooLarge counts the answers that were not kept because of their size.
	TooLarge uint64
}

func (c *Counters) add(s State) State {
	switch s.Status {
	case StatusFresh:
		c.Fresh++
	case StatusPending:
		c.Pending++
	case StatusDone:
		c.Done++
	case StatusLost:
		c.Lost++
	case StatusMismatch:
		c.Mismatch++
	case StatusRefused:
		c.Refused++
		if s.Reason == ReasonKeysFull {
			c.Full++
		}
	case StatusMoving:
		c.Moving++
	case StatusNotHome:
		c.NotHome++
	case StatusRecorded:
		c.record(s.Outcome)
	}
	return s
}

func (c *Counters) record(o oleandervalve.Outcome) {
	switch o {
	case oleandervalve.OutcomeAnswered:
		c.Answered++
	case oleandervalve.OutcomeNotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// Counters returns the home's counters.
func (h *Home) Counters() Counters { return h.counters }
