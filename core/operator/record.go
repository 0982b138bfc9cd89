package operator

import (
	"fmt"
	"strings"
	"time"

	"oleandervalve"
)

// Result is the outcome of an attempted change.
type Result string

const (
	// ResultAccepted is a committed change or an accepted action.
	ResultAccepted Result = "accepted"
	// ResultRefused is an attempt that had no effect.
	ResultRefused Result = "refused"
)

// Actor is the person or program that makes a change.
type Actor struct {
	Name  string               `json:"name"`
	Team  oleandervalve.TeamID `json:"team,omitempty"`
	Roles []Role               `json:"roles,omitempty"`
}

// Record is one entry of the audit trail. The records of accepted changes also
// form the log that replicas apply.
type Record struct {
	// Revision is zero for a record that changes no object.
	Revision oleandervalve.Revision `json:"revision,omitempty"`
	ChangeID ChangeID               `json:"changeId"`
	At       time.Time              `json:"at"`
	Actor    Actor                  `json:"actor"`
	Verb     Verb                   `json:"verb"`
	Kind     Kind                   `json:"kind"`
	Name     string                 `json:"name"`
	Before   *Object                `json:"before,omitempty"`
	After    *Object                `json:"after,omitempty"`
	Result   Result                 `json:"result"`
	// Reason and Detail explain why an attempt was refused.
	Reason oleandervalve.Reason `json:"reason,omitempty"`
	Detail string               `json:"detail,omitempty"`
	// Digest is the digest of all objects after the change.
	Digest uint64 `json:"digest,omitempty"`
}

// Ref returns the reference of the changed object.
func (r Record) Ref() Ref { return Ref{Kind: r.Kind, Name: r.Name} }

// Redacted returns a copy of the record in which the hashes of tokens are redacted.
func (r Record) Redacted() Record {
	if r.Before != nil {
		o := r.Before.Redacted()
		r.Before = &o
	}
	if r.After != nil {
		o := r.After.Redacted()
		r.After = &o
	}
	return r
}

// maxDetailBytes limits the length of Record.Detail.
const maxDetailBytes = 1024

// AttemptTransaction returns the transaction that records a refused attempt, or
// an accepted action that changes no object. The key of the record sorts by time.
// The record contains no objects, because a refused body may contain anything.
func AttemptTransaction(c Change, a Actor, at time.Time, result Result, reason oleandervalve.Reason, detail string) oleandervalve.Transaction {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	r := Record{
		ChangeID: ChangeID(truncate(string(c.ID))), At: at, Actor: a, Verb: c.Verb,
		Kind: Kind(truncate(string(c.Kind))), Name: truncate(c.Name),
		Result: result, Reason: reason, Detail: detail,
	}
	v := mustJSON(r)
	// The digest distinguishes attempts made in the same millisecond.
	suffix := Object{Name: "attempt", Spec: v}.digest()
	k := AttemptPrefix + oleandervalve.Key(fmt.Sprintf("%015d-%016x", at.UnixMilli(), suffix))
	return oleandervalve.Transaction{
		ID:   oleandervalve.MutationID("attempt-" + strings.TrimPrefix(string(k), string(AttemptPrefix))),
		Puts: []oleandervalve.Put{{Key: k, Value: v}},
	}
}

// AuditFilter selects audit records; zero fields select everything.
type AuditFilter struct {
	From, To time.Time
	Actor    string
	Kind     Kind
	Name     string
	Result   Result
}

// Matches reports whether the filter selects a record. From is inclusive and To exclusive.
func (f AuditFilter) Matches(r Record) bool {
	return (f.From.IsZero() || !r.At.Before(f.From)) &&
		(f.To.IsZero() || r.At.Before(f.To)) &&
		(f.Actor == "" || r.Actor.Name == f.Actor) &&
		(f.Kind == "" || r.Kind == f.Kind) &&
		(f.Name == "" || r.Name == f.Name) &&
		(f.Result == "" || r.Result == f.Result)
}
