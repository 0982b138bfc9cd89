package operator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"oleandervalve"
)

// Kind is the type of a configuration object.
type Kind string

const (
	// KindService defines a service.
	KindService Kind = "service"
	// KindJobDefaults sets defaults for the fields that selected jobs do not set.
	KindJobDefaults Kind = "jobDefaults"
	// KindPolicy sets weights, floors and queue limits for the classes of selected
	// services and jobs.
	KindPolicy Kind = "policy"
	// KindTeam defines a team with its callers and quota.
	KindTeam Kind = "team"
	// KindWorkerLabels adds labels to selected workers.
	KindWorkerLabels Kind = "workerLabels"
	// KindEndpointLabels adds labels to selected endpoints.
	KindEndpointLabels Kind = "endpointLabels"
	// KindEvacuation requests the evacuation of the data centre named by the object.
	// The evacuation is in force while the object exists.
	KindEvacuation Kind = "evacuation"
	// KindToken grants the holder of a bearer token roles in a team.
	KindToken Kind = "token"
)

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	return []Kind{KindEndpointLabels, KindEvacuation, KindJobDefaults, KindPolicy, KindService, KindTeam, KindToken, KindWorkerLabels}
}

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind" cbor:"k"`
	Name string `json:"name" cbor:"n"`
}

func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Compare orders references by kind and name.
func (r Ref) Compare(o Ref) int {
	if c := strings.Compare(string(r.Kind), string(o.Kind)); c != 0 {
		return c
	}
	return strings.Compare(r.Name, o.Name)
}

// Object is one versioned configuration object.
type Object struct {
	Kind   Kind              `json:"kind" cbor:"k"`
	Name   string            `json:"name" cbor:"n"`
	Labels map[string]string `json:"labels,omitempty" cbor:"l,omitempty"`
	// Spec is the JSON form of the object's Spec; Validate returns it in canonical form.
	Spec json.RawMessage `json:"spec" cbor:"s"`
	// Version is the configuration revision of the object's last change. Unlike
	// the version of a table row, it is never reused when the object is deleted
	// and created again.
	Version oleandervalve.Version `json:"version" cbor:"v"`
}

// Ref returns the object's reference.
func (o Object) Ref() Ref { return Ref{Kind: o.Kind, Name: o.Name} }

// digest returns the hash of the object. The digest of a configuration is the
// XOR of the digests of its objects.
func (o Object) digest() uint64 {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%q %q %d ", o.Kind, o.Name, o.Version)
	for _, k := range sortedKeys(o.Labels) {
		_, _ = fmt.Fprintf(h, "%q=%q ", k, o.Labels[k])
	}
	h.Write(o.Spec)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// redactedHash replaces the hash of a token in output.
const redactedHash = "(redacted)"

// Redacted returns a copy of the object in which the hash of a token is redacted.
func (o Object) Redacted() Object {
	if o.Kind != KindToken {
		return o
	}
	var s TokenSpec
	if json.Unmarshal(o.Spec, &s) != nil {
		s = TokenSpec{}
	}
	s.Hash = redactedHash
	o.Spec = mustJSON(s)
	return o
}

// Head is the value of the head row. Every change updates this row, which
// serialises all changes.
type Head struct {
	Revision oleandervalve.Revision `json:"revision"`
	// Objects is the number of objects; the transaction enforces MaxObjects by it.
	Objects int `json:"objects"`
	// Digest is the digest of all objects at this revision.
	Digest uint64 `json:"digest"`
}

// Keys and key prefixes of the configuration's rows in the table.
const (
	HeadKey      oleandervalve.Key = "config/head"
	ObjectPrefix oleandervalve.Key = "config/object/"
	LogPrefix    oleandervalve.Key = "config/log/"
	ChangePrefix oleandervalve.Key = "config/change/"
	// AttemptPrefix is the prefix of audit records that have no revision.
	AttemptPrefix oleandervalve.Key = "config/attempt/"
)

// ObjectKey returns the key of an object's row.
func ObjectKey(r Ref) oleandervalve.Key {
	return ObjectPrefix + oleandervalve.Key(string(r.Kind)+"/"+r.Name)
}

// LogKey returns the key of the log row of a revision; keys sort by revision.
func LogKey(r oleandervalve.Revision) oleandervalve.Key {
	return LogPrefix + oleandervalve.Key(fmt.Sprintf("%020d", uint64(r)))
}

// ChangeKey returns the key of the row that records an accepted change by its id.
func ChangeKey(id ChangeID) oleandervalve.Key { return ChangePrefix + oleandervalve.Key(id) }

// DecodeHead decodes the head row; an absent row means an empty configuration.
func DecodeHead(r oleandervalve.Row) (Head, error) {
	if r.Version == 0 {
		return Head{}, nil
	}
	var h Head
	return h, decodeRow(r, &h)
}

// DecodeObject decodes an object's row.
func DecodeObject(r oleandervalve.Row) (Object, error) {
	var o Object
	return o, decodeRow(r, &o)
}

// DecodeRecord decodes a log row or an attempt row.
func DecodeRecord(r oleandervalve.Row) (Record, error) {
	var rec Record
	return rec, decodeRow(r, &rec)
}

// RowError reports a configuration row that can't be decoded.
type RowError struct {
	Key   oleandervalve.Key
	Cause error
}

func (e *RowError) Error() string {
	return fmt.Sprintf("configuration row %q can't be read: check that all processes run the same release", string(e.Key))
}

// Unwrap returns the decoding error.
func (e *RowError) Unwrap() error { return e.Cause }

func decodeRow(r oleandervalve.Row, v any) error {
	if err := json.Unmarshal(r.Value, v); err != nil {
		return &RowError{Key: r.Key, Cause: err}
	}
	return nil
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // All callers pass types of this module that can always be encoded.
	}
	return b
}
