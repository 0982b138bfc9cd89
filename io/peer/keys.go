package peer

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/callerkey"
)

// The structs below match those of core/callerkey in the names, types and order
// of their fields, so that values can be converted: callerkey.Begin(*m).

// KeyBegin requests permission from the owner of a key to execute a request.
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

// KeyState responds to a KeyBegin or a KeyFinish.
type KeyState struct {
	Entry      oleandervalve.EntryID   `cbor:"entry"`
	Request    oleandervalve.RequestID `cbor:"request"`
	Status     callerkey.Status        `cbor:"status"`
	Reason     oleandervalve.Reason    `cbor:"reason,omitempty"`
	RetryAfter time.Duration           `cbor:"retryAfterNs,omitempty"`
	MapVersion oleandervalve.Version   `cbor:"mapVersion"`
	// Outcome repeats the outcome of the Finish that StatusRecorded acknowledges.
	Outcome oleandervalve.Outcome `cbor:"outcome,omitempty"`
	// HTTPStatus, Header and Body are the retained response of StatusDone.
	HTTPStatus int         `cbor:"httpStatus,omitempty"`
	Header     http.Header `cbor:"header,omitempty"`
	Body       []byte      `cbor:"body,omitempty"`
	// Kept is false if the response was too large to retain.
	Kept bool `cbor:"kept,omitempty"`
}

// KeyFinish notifies the owner of a key of the outcome of an attempt.
type KeyFinish struct {
	Entry   oleandervalve.EntryID     `cbor:"entry"`
	Request oleandervalve.RequestID   `cbor:"request"`
	Caller  oleandervalve.CallerID    `cbor:"caller"`
	Service oleandervalve.ServiceName `cbor:"service"`
	Key     string                    `cbor:"key"`
	Digest  [32]byte                  `cbor:"digest"`
	Outcome oleandervalve.Outcome     `cbor:"outcome,omitempty"`
	// HTTPStatus, Header and Body are the response of OutcomeAnswered.
	HTTPStatus int         `cbor:"httpStatus,omitempty"`
	Header     http.Header `cbor:"header,omitempty"`
	Body       []byte      `cbor:"body,omitempty"`
	// Kept is false if the sender omitted the response because of its size.
	Kept bool `cbor:"kept,omitempty"`
}

// KeyRecord is the record of a key as transferred to another owner.
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
	// KeepFor is the time left until the record expires: a pending record becomes
	// indeterminate, any other one is removed.
	KeepFor    time.Duration `cbor:"keepForNs"`
	HTTPStatus int           `cbor:"httpStatus,omitempty"`
	Header     http.Header   `cbor:"header,omitempty"`
	Body       []byte        `cbor:"body,omitempty"`
	Kept       bool          `cbor:"kept,omitempty"`
}

// KeyExport is one part of the records that an owner transfers to its
// successor; an entry forwards it.
type KeyExport struct {
	Transfer        uint64                `cbor:"transfer"`
	FromAgent       oleandervalve.AgentID `cbor:"fromAgent"`
	FromIncarnation uint64                `cbor:"fromIncarnation"`
	ToAgent         oleandervalve.AgentID `cbor:"toAgent"`
	ToIncarnation   uint64                `cbor:"toIncarnation"`
	// Ranges are the ranges that are transferred.
	Ranges   []uint16 `cbor:"ranges"`
	Sequence int      `cbor:"sequence"`
	Last     bool     `cbor:"last,omitempty"`
	// Abort cancels the transfer.
	Abort   bool        `cbor:"abort,omitempty"`
	Records []KeyRecord `cbor:"records,omitempty"`
}

// KeyImport acknowledges the parts of a transfer; an entry forwards it.
type KeyImport struct {
	Transfer        uint64                `cbor:"transfer"`
	FromAgent       oleandervalve.AgentID `cbor:"fromAgent"`
	FromIncarnation uint64                `cbor:"fromIncarnation"`
	ToAgent         oleandervalve.AgentID `cbor:"toAgent"`
	ToIncarnation   uint64                `cbor:"toIncarnation"`
	// Next is the sequence number of the next part that the successor expects.
	Next     int  `cbor:"next"`
	Complete bool `cbor:"complete,omitempty"`
	// Refused is the reason why the successor accepts no records, or empty.
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
