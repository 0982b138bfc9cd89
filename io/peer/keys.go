package peer

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/callerkey"
)

// The fields match those of the messages of core/callerkey in name, type and
// order, so that a value of one converts to the other: callerkey.Begin(*m).

// KeyBegin asks the home of a key for permission to execute a request.
type KeyBegin struct {
	Entry   oleandervalve.EntryID     `cbor:"entry"`
	Request oleandervalve.RequestID   `cbor:"request"`
	Caller  oleandervalve.CallerID    `cbor:"caller"`
	Service oleandervalve.ServiceName `cbor:"service"`
	Key     string                    `cbor:"key"`
	Digest  [32]byte                  `cbor:"digest"`
	// Remaining is the time left until the deadline.
	Remaining time.Duration `cbor:"remainingNs"`
	// MapVersion is the version of the key range map that the sender used.
	MapVersion oleandervalve.Version `cbor:"mapVersion"`
}

// KeyState answers a KeyBegin or a KeyFinish.
type KeyState struct {
	Entry      oleandervalve.EntryID   `cbor:"entry"`
	Request    oleandervalve.RequestID `cbor:"request"`
	Status     callerkey.Status        `cbor:"status"`
	Reason     oleandervalve.Reason    `cbor:"reason,omitempty"`
	RetryAfter time.Duration           `cbor:"retryAfterNs,omitempty"`
	MapVersion oleandervalve.Version   `cbor:"mapVersion"`
	// Outcome repeats the outcome of the Finish that StatusRecorded acknowledges.
	Outcome oleandervalve.Outcome `cbor:"outcome,omitempty"`
	// HTTPStatus, Header and Body hold the kept answer of StatusDone.
	HTTPStatus int         `cbor:"httpStatus,omitempty"`
	Header     http.Header `cbor:"header,omitempty"`
	Body       []byte      `cbor:"body,omitempty"`
	// Kept is false if the answer was too large to keep.
	Kept bool `cbor:"kept,omitempty"`
}

// KeyFinish tells the home of a key how an attempt ended.
type KeyFinish struct {
	Entry   oleandervalve.EntryID     `cbor:"entry"`
	Request oleandervalve.RequestID   `cbor:"request"`
	Caller  oleandervalve.CallerID    `cbor:"caller"`
	Service oleandervalve.ServiceName `cbor:"service"`
	Key     string                    `cbor:"key"`
	Digest  [32]byte                  `cbor:"digest"`
	Outcome oleandervalve.Outcome     `cbor:"outcome,omitempty"`
	// HTTPStatus, Header and Body hold the answer of OutcomeAnswered.
	HTTPStatus int         `cbor:"httpStatus,omitempty"`
	Header     http.Header `cbor:"header,omitempty"`
	Body       []byte      `cbor:"body,omitempty"`
	// Kept is false if the sender left the answer out because of its size.
	Kept bool `cbor:"kept,omitempty"`
}

// KeyRecord is a key's record as moved to another home.
type KeyRecord struct {
	Entry   oleandervalve.EntryID     `cbor:"entry,omitempty"`
	Request oleandervalve.RequestID   `cbor:"request,omitempty"`
	Caller  oleandervalve.CallerID    `cbor:"caller"`
	Service oleandervalve.ServiceName `cbor:"service"`
	Key     string                    `cbor:"key"`
	Digest  [32]byte                  `cbor:"digest"`
	Status  callerkey.Status          `cbor:"status"`
	// Closed lists the attempts that ended without running.
	Closed []string `cbor:"closed,omitempty"`
	// KeepFor is the time left until the record changes or is dropped by itself.
	KeepFor    time.Duration `cbor:"keepForNs"`
	HTTPStatus int           `cbor:"httpStatus,omitempty"`
	Header     http.Header   `cbor:"header,omitempty"`
	Body       []byte        `cbor:"body,omitempty"`
	Kept       bool          `cbor:"kept,omitempty"`
}

// KeyExport is one part of the records that a home hands to its successor; an entry passes it on.
type KeyExport struct {
	Transfer        uint64                `cbor:"transfer"`
	FromAgent       oleandervalve.AgentID `cbor:"fromAgent"`
	FromIncarnation uint64                `cbor:"fromIncarnation"`
	ToAgent         oleandervalve.AgentID `cbor:"toAgent"`
	ToIncarnation   uint64                `cbor:"toIncarnation"`
	// Ranges are the ranges that move.
	Ranges   []uint16 `cbor:"ranges"`
	Sequence int      `cbor:"sequence"`
	Last     bool     `cbor:"last,omitempty"`
	// Abort withdraws the transfer.
	Abort   bool        `cbor:"abort,omitempty"`
	Records []KeyRecord `cbor:"records,omitempty"`
}

// KeyImport acknowledges the parts of a transfer; an entry passes it back.
type KeyImport struct {
	Transfer        uint64                `cbor:"transfer"`
	FromAgent       oleandervalve.AgentID `cbor:"fromAgent"`
	FromIncarnation uint64                `cbor:"fromIncarnation"`
	ToAgent         oleandervalve.AgentID `cbor:"toAgent"`
	ToIncarnation   uint64                `cbor:"toIncarnation"`
	// Next is the sequence number of the next part that the successor expects.
	Next     int  `cbor:"next"`
	Complete bool `cbor:"complete,omitempty"`
	// Refused says why the successor takes no records; empty if it does.
	Refused oleandervalve.Reason `cbor:"refused,omitempty"`
}

const (
	typeKeyBegin  Type = "keyBegin"
	typeKeyState  Type = "keyState"
	typeKeyFinish Type = "keyFinish"
	typeKeyExport Type = "keyExport"
	typeKeyImport Type = "keyImport"
)

// Type returns "keyBegin".
func (*KeyBegin) Type() Type { return typeKeyBegin }

// Type returns "keyState".
func (*KeyState) Type() Type { return typeKeyState }

// Type returns "keyFinish".
func (*KeyFinish) Type() Type { return typeKeyFinish }

// Type returns "keyExport".
func (*KeyExport) Type() Type { return typeKeyExport }

// Type returns "keyImport".
func (*KeyImport) Type() Type { return typeKeyImport }

// NewKeyExport returns the message for one part of a transfer.
func NewKeyExport(e callerkey.Export) *KeyExport {
	m := &KeyExport{
		Transfer: e.Transfer, FromAgent: e.FromAgent, FromIncarnation: e.FromIncarnation,
		ToAgent: e.ToAgent, ToIncarnation: e.ToIncarnation,
		Ranges: e.Ranges, Sequence: e.Sequence, Last: e.Last, Abort: e.Abort,
	}
	for _, r := range e.Records {
		m.Records = append(m.Records, KeyRecord(r))
	}
	return m
}

// Export returns the part of a transfer that the message carries.
func (m *KeyExport) Export() callerkey.Export {
	e := callerkey.Export{
		Transfer: m.Transfer, FromAgent: m.FromAgent, FromIncarnation: m.FromIncarnation,
		ToAgent: m.ToAgent, ToIncarnation: m.ToIncarnation,
		Ranges: m.Ranges, Sequence: m.Sequence, Last: m.Last, Abort: m.Abort,
	}
	for _, r := range m.Records {
		e.Records = append(e.Records, callerkey.Record(r))
	}
	return e
}
