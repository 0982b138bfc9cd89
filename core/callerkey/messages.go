package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
)

// Begin asks the owner of a key for permission to execute a request.
type Begin struct {
	Entry   oleandervalve.EntryID
	Request oleandervalve.RequestID
	Caller  oleandervalve.CallerID
	Service oleandervalve.ServiceName
	Key     string
	Digest  [32]byte
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// MapVersion is the version of the key range map that the sender used.
	MapVersion oleandervalve.Version
}

// Status is the result of a Begin or a Finish; some of its values are also the
// status of a key's record.
type Status string

const (
	// StatusPermitted permits the requesting attempt to execute the request.
	StatusPermitted Status = "fresh"
	// StatusPending means that another attempt may be executing the request.
	StatusPending Status = "pending"
	// StatusDone means that the request ran and was answered.
	StatusDone Status = "done"
	// StatusIndeterminate means that the request may have run and will not run again.
	StatusIndeterminate Status = "lost"
	// StatusMismatch means that the key belongs to a request with a different digest.
	StatusMismatch Status = "mismatch"
	// StatusRefused means that the request did not run.
	StatusRefused Status = "refused"
	// StatusTransferring means that the range is being transferred to another owner:
	// send the message again after RetryAfter.
	StatusTransferring Status = "moving"
	// StatusNotOwner means that the agent does not own the range, or that its map is
	// older than the sender's.
	StatusNotOwner Status = "notHome"
	// StatusRecorded acknowledges a Finish.
	StatusRecorded Status = "recorded"
)

// Reply is the reply to a Begin or a Finish.
type Reply struct {
	Entry      oleandervalve.EntryID
	Request    oleandervalve.RequestID
	Status     Status
	Reason     oleandervalve.Reason
	RetryAfter time.Duration
	MapVersion oleandervalve.Version
	// Outcome repeats the outcome of the Finish that StatusRecorded acknowledges.
	Outcome oleandervalve.Outcome
	// HTTPStatus, Header and Body hold the stored answer of StatusDone.
	HTTPStatus int
	Header     http.Header
	Body       []byte
	// Kept is false if the answer was too large to store.
	Kept bool
}

// Finish reports to the owner of a key how an attempt ended.
type Finish struct {
	Entry   oleandervalve.EntryID
	Request oleandervalve.RequestID
	Caller  oleandervalve.CallerID
	Service oleandervalve.ServiceName
	Key     string
	Digest  [32]byte
	Outcome oleandervalve.Outcome
	// HTTPStatus, Header and Body hold the answer of OutcomeAnswered.
	HTTPStatus int
	Header     http.Header
	Body       []byte
	// Kept is false if the sender omitted the answer because of its size.
	Kept bool
}

// Record is the record of a key in an Export.
type Record struct {
	Entry   oleandervalve.EntryID
	Request oleandervalve.RequestID
	Caller  oleandervalve.CallerID
	Service oleandervalve.ServiceName
	Key     string
	Digest  [32]byte
	Status  Status
	// Closed lists the attempts that ended without running, each as two elements: the
	// entry and the request.
	Closed []string
	// KeepFor is the time left until the record expires: a pending record becomes
	// indeterminate, any other one is removed.
	KeepFor    time.Duration
	HTTPStatus int
	Header     http.Header
	Body       []byte
	Kept       bool
}

// Export is one part of the records that an owner transfers to its successor.
type Export struct {
	Transfer        uint64
	FromAgent       oleandervalve.AgentID
	FromIncarnation uint64
	ToAgent         oleandervalve.AgentID
	ToIncarnation   uint64
	// Ranges are the ranges that are transferred.
	Ranges   []uint16
	Sequence int
	Last     bool
	// Abort cancels the transfer.
	Abort   bool
	Records []Record
}

// ExportAck acknowledges the parts of a transfer that its sender has received.
type ExportAck struct {
	Transfer        uint64
	FromAgent       oleandervalve.AgentID
	FromIncarnation uint64
	ToAgent         oleandervalve.AgentID
	ToIncarnation   uint64
	// Next is the sequence number of the next part that the successor expects.
	Next     int
	Complete bool
	// Refused is why the successor refuses the transfer; empty if it accepts it.
	Refused oleandervalve.Reason
}

// Reasons of the results that are not an endpoint's own answer.
const (
	ReasonTimestampAhead   oleandervalve.Reason = "keyAhead"
	ReasonKeyInvalid       oleandervalve.Reason = "keyInvalid"
	ReasonBodyMismatch     oleandervalve.Reason = "keyBodyDiffers"
	ReasonKeyPending       oleandervalve.Reason = "keyPending"
	ReasonKeyIndeterminate oleandervalve.Reason = "keyLost"
	ReasonKeyExpired       oleandervalve.Reason = "keyExpired"
	ReasonKeyTakenOver     oleandervalve.Reason = "keyTakenOver"
	ReasonKeysFull         oleandervalve.Reason = "keysFull"
	ReasonLeaseInvalid     oleandervalve.Reason = "keyLease"
	ReasonKeyTransferring  oleandervalve.Reason = "keyMoving"
	ReasonAnswerTooLarge   oleandervalve.Reason = "keyAnswerNotKept"
	ReasonOwnerUnreachable oleandervalve.Reason = "keyHomeUnreachable"
	ReasonOwnerNoReply     oleandervalve.Reason = "keyHomeSilent"
	ReasonAttemptClosed    oleandervalve.Reason = "keyAttemptClosed"
)

var remedies = map[oleandervalve.Reason]string{
	ReasonTimestampAhead:   "set the caller's clock: the key's timestamp is more than 2 s in the future",
	ReasonKeyInvalid:       "run the same release on entries and agents",
	ReasonBodyMismatch:     "use a new key for a request with another body",
	ReasonKeyPending:       "an earlier request with this key may be running: send the same key again later",
	ReasonKeyIndeterminate: "the request may have run: check its effect before sending it with a new key",
	ReasonKeyExpired:       "the key is older than the retention time: check the effect before using a new key",
	ReasonKeyTakenOver:     "the agent that kept this key's record was lost: check the effect before using a new key",
	ReasonKeysFull:         "the agent's memory for keys is full: send the same key again later",
	ReasonLeaseInvalid:     "the agent that keeps this key's record may be replaced: send the same key again later",
	ReasonKeyTransferring:  "the key's record is moving to another agent: send the same key again",
	ReasonAnswerTooLarge:   "the request ran, but its answer was too large to keep: read the result from the service",
	ReasonOwnerUnreachable: "the agent that keeps this key's record can't be reached: send the same key again later",
	ReasonOwnerNoReply:     "the agent that keeps this key's record did not reply in time: send the same key again later",
	ReasonAttemptClosed:    "this attempt has ended: send the same key again",
}
