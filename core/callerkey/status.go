package callerkey

import (
	"net/http"

	"oleandervalve"
)

// ResponseStatus returns the HTTP status for a result: the endpoint's own if the
// request was answered, else one that tells the caller how to proceed.
func (r Result) ResponseStatus() int {
	switch r.Outcome {
	case oleandervalve.OutcomeAnswered:
		return r.Execution.HTTPStatus
	case oleandervalve.OutcomeNotRun:
		return notRunStatus(r.Reason)
	}
	switch r.Reason {
	case ReasonKeyPending, ReasonKeyTransferring, ReasonAnswerTooLarge:
		return http.StatusConflict
	case ReasonOwnerNoReply:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func notRunStatus(r oleandervalve.Reason) int {
	switch r {
	case ReasonTimestampAhead, ReasonKeyInvalid:
		return http.StatusBadRequest
	case ReasonBodyMismatch:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// Counters count the replies of a record store since it was created, by status.
type Counters struct {
	Permitted, Pending, Done, Indeterminate, Mismatch, Refused, Transferring, NotOwner uint64
	// Answered, NotRun and Unknown count the outcomes that were recorded.
	Answered, NotRun, Unknown uint64
	// InsufficientCapacity counts the new keys refused because MaxRecords or MaxBytes
	// was reached; Refused includes them.
	InsufficientCapacity uint64
	// TooLarge counts the answers that were not stored because of their size.
	TooLarge uint64
}

// add counts a reply and returns it.
func (c *Counters) add(reply Reply) Reply {
	switch reply.Status {
	case StatusPermitted:
		c.Permitted++
	case StatusPending:
		c.Pending++
	case StatusDone:
		c.Done++
	case StatusIndeterminate:
		c.Indeterminate++
	case StatusMismatch:
		c.Mismatch++
	case StatusRefused:
		c.Refused++
		if reply.Reason == ReasonKeysFull {
			c.InsufficientCapacity++
		}
	case StatusTransferring:
		c.Transferring++
	case StatusNotOwner:
		c.NotOwner++
	case StatusRecorded:
		c.addOutcome(reply.Outcome)
	}
	return reply
}

func (c *Counters) addOutcome(o oleandervalve.Outcome) {
	switch o {
	case oleandervalve.OutcomeAnswered:
		c.Answered++
	case oleandervalve.OutcomeNotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// Counters returns a copy of the counters.
func (s *RecordStore) Counters() Counters { return s.counters }
