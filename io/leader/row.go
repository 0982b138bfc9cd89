package leader

import (
	"context"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

// Key is the key of the leader's row, which names the leading entry. The row is in
// the same part of the table as the jobs, so that every commit can be
// conditional on it.
const Key oleandervalve.Key = "leader/main/leader"

// Row is the value of the leader's row.
type Row struct {
	Entry   oleandervalve.EntryID `cbor:"1,keyasint"`
	Address string                `cbor:"2,keyasint"`
	// Process identifies one start of the entry's process.
	Process string `cbor:"3,keyasint"`
	// Term is the number of takeovers so far.
	Term uint64 `cbor:"4,keyasint"`
	// Renewal is the number of renewals within the term.
	Renewal uint64 `cbor:"5,keyasint"`
	// RenewedAt is when the renewal was sent, by the clock of the table; zero if that is
	// unknown.
	RenewedAt time.Time `cbor:"7,keyasint,omitzero"`
	// Released is set when the leader has given up leadership in a planned stop.
	Released bool `cbor:"6,keyasint,omitempty"`
	// Silences names the silent agents with assigned runs at the time of the renewal.
	Silences []dispatch.Silence `cbor:"8,keyasint,omitempty"`
	// Confirmations tells which starts were confirmed at the time of the renewal.
	Confirmations dispatch.Confirmations `cbor:"9,keyasint,omitzero"`
	// SentBy is an upper bound of the time at which the row was first sent, by the clock of the table;
	// zero if that is unknown.
	SentBy time.Time `cbor:"10,keyasint,omitzero"`
	// CPUShare is the leader's processor share, in processors; 0 in rows of earlier releases.
	CPUShare float64 `cbor:"11,keyasint,omitempty"`
}

// DecodeRow decodes the leader's row. It returns the zero Row for an absent one.
func DecodeRow(r oleandervalve.Row) (Row, error) {
	var out Row
	if r.Version == 0 {
		return out, nil
	}
	err := work.Decode(r, &out)
	return out, err
}

// Age returns the time since the last renewal, given the time by the clock of the table, or
// 0 if either is unknown.
func (r Row) Age(now time.Time) time.Duration {
	if r.RenewedAt.IsZero() || now.IsZero() {
		return 0
	}
	return now.Sub(r.RenewedAt)
}

// Address reads the address of the leading entry from the table. It returns "" if no
// entry has led yet.
func Address(ctx context.Context, t oleandervalve.Table) (string, error) {
	rows, err := t.Get(ctx, Key)
	if err != nil {
		return "", err
	}
	r, err := DecodeRow(rows[0])
	return r.Address, err
}
