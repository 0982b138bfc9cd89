package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"time"

	"oleandervalve"
)

// ChangeID is the idempotency key of a change: sending a change again under the
// same id does not apply it a second time.
type ChangeID string

// Verb is the operation that a change performs.
type Verb string

const (
	// VerbPut creates or replaces an object.
	VerbPut Verb = "put"
	// VerbDelete removes an object.
	VerbDelete Verb = "delete"
	// VerbLabel sets and removes individual labels of an object.
	VerbLabel Verb = "label"
	// VerbDrain starts draining an instance; it changes no object.
	VerbDrain Verb = "drain"
	// VerbCancel cancels a job; it changes no object.
	VerbCancel Verb = "cancel"
)

// Change is a request to change one object.
type Change struct {
	ID   ChangeID `json:"id"`
	Verb Verb     `json:"verb"`
	Kind Kind     `json:"kind"`
	Name string   `json:"name"`
	// Expected is the object version on which the change is based, 0 for a new
	// object. It is optional for label changes only.
	Expected *oleandervalve.Version `json:"expected,omitempty"`
	// Object is the object to write; it is set for a put only.
	Object *Object `json:"object,omitempty"`
	// Labels lists the labels to set; a nil value removes the label.
	Labels map[string]*string `json:"labels,omitempty"`
}

// Ref returns the reference of the changed object.
func (c Change) Ref() Ref { return Ref{Kind: c.Kind, Name: c.Name} }

// ConflictError reports a change whose expected version differs from the
// current version of the object.
type ConflictError struct {
	Ref      Ref
	Expected oleandervalve.Version
	Current  oleandervalve.Version
	// Object is the current object, nil if there is none.
	Object *Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d, not %d: %s", e.Ref, e.Current, e.Expected, e.Remedy())
}

// Remedy returns instructions for resolving the conflict.
func (e *ConflictError) Remedy() string {
	if e.Current == 0 {
		return "the object does not exist; send the change with expected version 0 to create it"
	}
	return fmt.Sprintf("read version %d, repeat the change on it and send it with that version", e.Current)
}

// ChangeIDReusedError reports that an accepted change with different content
// already uses the change id.
type ChangeIDReusedError struct {
	ID       ChangeID
	Revision oleandervalve.Revision
}

func (e *ChangeIDReusedError) Error() string {
	return fmt.Sprintf("change id %q was accepted at revision %d with other content: use a new change id", string(e.ID), e.Revision)
}

// AcceptedChange records an accepted change under its change id, so that a
// repeated request can be recognised.
type AcceptedChange struct {
	Revision oleandervalve.Revision `json:"revision"`
	Version  oleandervalve.Version  `json:"version"`
	At       time.Time              `json:"at"`
	// Content is the digest of the change's content.
	Content uint64 `json:"content"`
}

// Plan describes the effect of a change on the current configuration.
type Plan struct {
	// Accepted is set if the change has already been accepted; there is nothing to commit.
	Accepted *AcceptedChange
	// Unchanged reports that the object already has the requested content.
	Unchanged bool
	// Transaction commits the change.
	Transaction   oleandervalve.Transaction
	Head          Head
	Record        Record
	Before, After *Object
	Diff          []DiffLine
}

// Version returns the version of the object after the change.
func (p Plan) Version() oleandervalve.Version {
	switch {
	case p.Accepted != nil:
		return p.Accepted.Version
	case p.After != nil:
		return p.After.Version
	}
	return 0
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{8,64}$`)

// ReadKeys returns the keys of the rows to pass to BuildPlan, in the expected order.
func ReadKeys(c Change) []oleandervalve.Key {
	return []oleandervalve.Key{HeadKey, ObjectKey(c.Ref()), ChangeKey(c.ID)}
}

// Check validates the change as far as possible without the current configuration.
func (c Change) Check() error {
	p := &problems{redactSpec: c.Kind == KindToken}
	if !changeIDPattern.MatchString(string(c.ID)) {
		p.add("changeId", c.ID, "use 8 to 64 letters, digits, '.', '_' and '-', new for each change")
	}
	if newSpec(c.Kind) == nil {
		p.add("kind", c.Kind, "use one of "+joinKinds())
	}
	p.checkObjectName(c.Kind, c.Name)
	if c.Expected == nil && c.Verb != VerbLabel {
		p.add("expectedVersion", "", "give the version that you read, or 0 to create the object")
	}
	switch c.Verb {
	case VerbPut:
		c.checkObject(p)
	case VerbLabel:
		if len(c.Labels) == 0 {
			p.add("labels", "", "give at least one label to set or remove")
		}
	case VerbDelete:
	default:
		p.add("verb", c.Verb, "use put, delete or label")
	}
	if len(p.list) > 0 {
		return &ValidationError{Ref: Ref{Kind: Kind(truncate(string(c.Kind))), Name: truncate(c.Name)}, Problems: p.list}
	}
	return nil
}

func (c Change) checkObject(p *problems) {
	if c.Object == nil {
		p.add("object", "", "give the object to put")
		return
	}
	if c.Object.Ref() != c.Ref() {
		p.add("object", c.Object.Ref(), "give the same kind and name as the change")
		return
	}
	if _, _, err := Validate(*c.Object); err != nil {
		var v *ValidationError
		if asValidationError(err, &v) {
			for _, problem := range v.Problems {
				// Check has already reported invalid kinds and names.
				if problem.Field != "kind" && problem.Field != "name" {
					p.list = append(p.list, problem)
				}
			}
		}
	}
}

// contentDigest returns a hash of the change's content, by which a change id
// reused for a different change is detected. The expected version is excluded,
// because a retry may expect the version that its first attempt produced.
func (c Change) contentDigest() uint64 {
	c.ID, c.Expected = "", nil
	return Object{Name: "change", Spec: mustJSON(c)}.digest()
}

// BuildPlan plans a change from the rows at the keys of ReadKeys. Errors are
// *ValidationError, *ConflictError, *oleandervalve.NotFoundError,
// *ChangeIDReusedError and *RowError.
func BuildPlan(c Change, actor Actor, rows []oleandervalve.Row, at time.Time) (Plan, error) {
	if err := c.Check(); err != nil {
		return Plan{}, err
	}
	head, err := DecodeHead(rows[0])
	if err != nil {
		return Plan{}, err
	}
	if rows[2].Version != 0 {
		accepted, err := Resolve(c, rows[2])
		return Plan{Accepted: accepted, Head: head}, err
	}
	var before *Object
	if rows[1].Version != 0 {
		o, err := DecodeObject(rows[1])
		if err != nil {
			return Plan{}, err
		}
		before = &o
	}
	if err := c.checkExpectedVersion(before); err != nil {
		return Plan{}, err
	}
	after, err := c.apply(before)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Before: before, After: after, Head: head}
	if sameContent(before, after) {
		p.Unchanged, p.After = true, before
		return p, nil
	}
	p.Head, err = nextHead(head, before, after)
	if err != nil {
		return Plan{}, err
	}
	p.Diff = Diff(before, after)
	p.Record = Record{
		Revision: p.Head.Revision, ChangeID: c.ID, At: at, Actor: actor, Verb: c.Verb, Kind: c.Kind, Name: c.Name,
		Before: before, After: after, Result: ResultAccepted, Digest: p.Head.Digest,
	}
	p.Transaction = c.transaction(p, rows)
	return p, nil
}

// Resolve determines from the row of the change id whether a change has been
// accepted, for example after its response was lost. If it returns nil, the change
// is not accepted yet and may be sent again under the same id.
func Resolve(c Change, row oleandervalve.Row) (*AcceptedChange, error) {
	accepted, err := DecodeAcceptedChange(row)
	if accepted != nil && accepted.Content != c.contentDigest() {
		return nil, &ChangeIDReusedError{ID: c.ID, Revision: accepted.Revision}
	}
	return accepted, err
}

// DecodeAcceptedChange decodes the row of a change id. It returns nil if the
// change has not been accepted.
func DecodeAcceptedChange(row oleandervalve.Row) (*AcceptedChange, error) {
	if row.Version == 0 {
		return nil, nil //nolint:nilnil // nil is documented as "not accepted".
	}
	var accepted AcceptedChange
	if err := decodeRow(row, &accepted); err != nil {
		return nil, err
	}
	return &accepted, nil
}

// checkExpectedVersion returns an error if the object's version differs from the
// expected one or the object to change does not exist.
func (c Change) checkExpectedVersion(before *Object) error {
	var current oleandervalve.Version
	if before != nil {
		current = before.Version
	}
	expected := current
	if c.Expected != nil {
		expected = *c.Expected
	}
	switch {
	case expected != current:
		return &ConflictError{Ref: c.Ref(), Expected: expected, Current: current, Object: before}
	case c.Verb != VerbPut && before == nil:
		return &oleandervalve.NotFoundError{Kind: string(c.Kind), Name: c.Name, Remedy: "list the objects of this kind, or create it with expected version 0"}
	}
	return nil
}

// apply returns the object as it is after the change, or nil for a delete.
func (c Change) apply(before *Object) (*Object, error) {
	var next Object
	switch c.Verb {
	case VerbDelete:
		return nil, nil //nolint:nilnil // nil is the documented result of a delete.
	case VerbPut:
		next = *c.Object
	case VerbLabel:
		next = *before
		next.Labels = maps.Clone(before.Labels)
		if next.Labels == nil {
			next.Labels = map[string]string{}
		}
		for k, v := range c.Labels {
			if v == nil {
				delete(next.Labels, k)
			} else {
				next.Labels[k] = *v
			}
		}
	}
	if len(next.Labels) == 0 {
		next.Labels = nil
	}
	next, _, err := Validate(next)
	return &next, err
}

// nextHead returns the head after a change and sets the version of the changed
// object to the new revision.
func nextHead(h Head, before, after *Object) (Head, error) {
	h.Revision++
	if before != nil {
		h.Digest ^= before.digest()
		h.Objects--
	}
	if after != nil {
		after.Version = oleandervalve.Version(h.Revision)
		h.Digest ^= after.digest()
		h.Objects++
	}
	if after != nil && h.Objects > MaxObjects {
		return Head{}, &ValidationError{Ref: after.Ref(), Problems: []oleandervalve.InvalidError{{
			Field: "objects", Value: fmt.Sprint(h.Objects), Remedy: fmt.Sprintf("delete objects that are no longer used; the limit is %d", MaxObjects),
		}}}
	}
	return h, nil
}

// transaction returns the transaction that commits the plan. It is conditional
// on the versions of all rows that BuildPlan has read: the head, the object and
// the change id, which must not be in use.
func (c Change) transaction(p Plan, rows []oleandervalve.Row) oleandervalve.Transaction {
	t := oleandervalve.Transaction{ID: oleandervalve.MutationID(fmt.Sprintf("%s.%d", c.ID, p.Head.Revision))}
	for _, r := range rows[:3] {
		t.Conditions = append(t.Conditions, oleandervalve.Condition{Key: r.Key, Version: r.Version})
	}
	accepted := AcceptedChange{Revision: p.Head.Revision, Version: p.Version(), At: p.Record.At, Content: c.contentDigest()}
	t.Puts = []oleandervalve.Put{
		{Key: HeadKey, Value: mustJSON(p.Head)},
		{Key: LogKey(p.Head.Revision), Value: mustJSON(p.Record)},
		{Key: ChangeKey(c.ID), Value: mustJSON(accepted)},
	}
	if p.After == nil {
		t.Deletes = append(t.Deletes, ObjectKey(c.Ref()))
	} else {
		t.Puts = append(t.Puts, oleandervalve.Put{Key: ObjectKey(c.Ref()), Value: mustJSON(p.After)})
	}
	return t
}

// sameContent compares labels and specs but not versions.
func sameContent(a, b *Object) bool {
	if a == nil || b == nil {
		return a == b
	}
	return maps.Equal(a.Labels, b.Labels) && bytes.Equal(a.Spec, b.Spec)
}

// DiffLine describes one field that a change sets, replaces or removes.
type DiffLine struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the fields that differ between two states of an object. Token
// hashes are redacted.
func Diff(before, after *Object) []DiffLine {
	b, a := flattenFields(before), flattenFields(after)
	fields := maps.Clone(b)
	maps.Copy(fields, a)
	var out []DiffLine
	for _, f := range sortedKeys(fields) {
		if b[f] != a[f] {
			l := DiffLine{Field: f, Before: b[f], After: a[f]}
			if before != nil && before.Kind == KindToken || after != nil && after.Kind == KindToken {
				l = redactDiff(l)
			}
			out = append(out, l)
		}
	}
	return out
}

func redactDiff(l DiffLine) DiffLine {
	if l.Field != "spec.hash" {
		return l
	}
	if l.Before != "" {
		l.Before = redactedHash
	}
	if l.After != "" {
		l.After = redactedHash
	}
	return l
}

// flattenFields returns the labels and the top-level spec fields of an object by path.
func flattenFields(o *Object) map[string]string {
	out := map[string]string{}
	if o == nil {
		return out
	}
	for k, v := range o.Labels {
		out["labels."+k] = v
	}
	var spec map[string]json.RawMessage
	if json.Unmarshal(o.Spec, &spec) == nil {
		for k, v := range spec {
			out["spec."+k] = string(v)
		}
	}
	return out
}

// asValidationError sets v if the error is a *ValidationError, and reports whether it is.
func asValidationError(err error, v **ValidationError) bool {
	e, ok := err.(*ValidationError) //nolint:errorlint // Validate returns this type unwrapped.
	*v = e
	return ok
}
