package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
)

// Begin asks the home of a key for permission to execute a request.
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

// Status is what the home of a key knows about it.
type Status string

const (
	// StatusFresh permits the asking attempt to execute the request.
	StatusFresh Status = "fresh"
	// StatusPending means that another attempt may be executing it.
	StatusPending Status = "pending"
	// StatusDone means that the request ran and was answered.
	StatusDone Status = "done"
	// StatusLost means that the request may have run and will not run again.
	StatusLost Status = "lost"
	// StatusMismatch means that the key belongs to a request with another body.
	StatusMismatch Status = "mismatch"
	// StatusRefused means that the request did not run.
	StatusRefused Status = "refused"
	// StatusMoving means that the range is being moved: ask again soon.
	StatusMoving Status = "moving"
	// StatusNotHome means that the agent is not home of the range, or its map is old.
	StatusNotHome Status = "notHome"
	// StatusRecorded acknowledges a Finish.
	StatusRecorded Status = "recorded"
)

// State answers a Begin or a Finish.
type State struct {
	Entry      oleandervalve.EntryID
	Request    oleandervalve.RequestID
	Status     Status
	Reason     oleandervalve.Reason
	RetryAfter time.Duration
	MapVersion oleandervalve.Version
	// Outcome repeats the outcome of the Finish that StatusRecorded acknowledges.
	Outcome oleandervalve.Outcome
	// HTTPStatus, Header and Body hold the kept answer of StatusDone.
	HTTPStatus int
	Header     http.Header
	Body       []byte
	// Kept is false if the answer was too large to keep.
	Kept bool
}

// Finish tells the home of a key how an attempt ended.
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
	// Kept is false if the sender left the answer out because of its size.
	Kept bool
}

// Record is a key's record as moved to another home.
type Record struct {
	Entry   oleandervalve.EntryID
	Request oleandervalve.RequestID
	Caller  oleandervalve.CallerID
	Service oleandervalve.ServiceName
	Key     string
	Digest  [32]byte
	Status  Status
	// Closed lists the attempts that ended without running.
	Closed []string
	// KeepFor is the time left until the record changes or is dropped by itself.
	KeepFor    time.Duration
	HTTPStatus int
	Header     http.Header
	Body       []byte
	Kept       bool
}

// Export is one part of the records that a home hands to its successor.
type Export struct {
	Transfer        uint64
	FromAgent       oleandervalve.AgentID
	FromIncarnation uint64
	ToAgent         oleandervalve.AgentID
	ToIncarnation   uint64
	// Ranges are the ranges that move.
	Ranges   []uint16
	Sequence int
	Last     bool
	// Abort withdraws the transfer.
	Abort   bool
	Records []Record
}

// Import acknowledges the parts of a transfer.
type Import struct {
	Transfer        uint64
	FromAgent       oleandervalve.AgentID
	FromIncarnation uint64
	ToAgent         oleandervalve.AgentID
	ToIncarnation   uint64
	// Next is the sequence number of the next part that the successor expects.
	Next     int
	Complete bool
	// Refused says why the successor takes no records; empty if it does.
	Refused oleandervalve.Reason
}

// Reasons of the answers that are not the endpoint's own.
const (
	ReasonKeyAhead     oleandervalve.Reason = "keyAhead"
	ReasonKeyInvalid   oleandervalve.Reason = "keyInvalid"
	ReasonKeyBody      oleandervalve.Reason = "keyBodyDiffers"
	ReasonKeyPending   oleandervalve.Reason = "keyPending"
	ReasonKeyLost      oleandervalve.Reason = "keyLost"
	ReasonKeyExpired   oleandervalve.Reason = "keyExpired"
	ReasonKeyTakenOver oleandervalve.Reason = "keyTakenOver"
	ReasonKeysFull     oleandervalve.Reason = "keysFull"
	ReasonKeyLease     oleandervalve.Reason = "keyLease"
	ReasonKeyMoving    oleandervalve.Reason = "keyMoving"
	ReasonAnswerSize   oleandervalve.Reason = "keyAnswerNotKept"
	ReasonKeyHome      oleandervalve.Reason = "keyHomeUnreachable"
	ReasonKeyNoReply   oleandervalve.Reason = "keyHomeSilent"
	ReasonClosed       oleandervalve.Reason = "keyAttemptClosed"
)

var remedies = map[oleandervalve.Reason]string{
	ReasonKeyAhead:     "set the caller's clock: the key's timestamp is more than 2 s in the future",
	ReasonKeyInvalid:   "run the same release on entries and agents",
	ReasonKeyBody:      "use a new key for a request with another body",
	ReasonKeyPending:   "an earlier request with this key may be running: send the same key again later",
	ReasonKeyLost:      "the request may have run: check its effect before sending it with a new key",
	ReasonKeyExpired:   "the key is older than the retention time: check the effect before using a new key",
	ReasonKeyTakenOver: "the agent that kept this key's record was lost: check the effect before using a new key",
	ReasonKeysFull:     "the agent's memory for keys is full: send the same key again later",
	ReasonKeyLease:     "the agent that keeps this key's record may be replaced: send the same key again later",
	ReasonKeyMoving:    "the key's record is moving to another agent: send the same key again",
	ReasonAnswerSize:   "the request ran, but its answer was too large to keep: read the result from the service",
	ReasonKeyHome:      "the agent that keeps this key's record can't be reached: send the same key again later",
	ReasonKeyNoReply:   "the agent that keeps this key's record did not reply in time: send the same key again later",
	ReasonClosed:       "this attempt has ended: send the same key again",
}
