package check

import (
	"cmp"
	"slices"
)

// Kind is the type of a finding.
type Kind string

// Kinds of findings.
const (
	// UnknownField is a field that the processes refuse or ignore.
	UnknownField Kind = "unknownField"
	// InvalidValue is a value that is out of range or of the wrong form.
	InvalidValue Kind = "invalidValue"
	// DuplicateName is a name or field that occurs twice.
	DuplicateName Kind = "duplicateName"
	// Precedence is a route that another route always or never precedes.
	Precedence Kind = "precedence"
	// UnmatchedSelector is a selector that no object matches.
	UnmatchedSelector Kind = "unmatchedSelector"
	// NoExecutors is a queue whose service has no executors.
	NoExecutors Kind = "noExecutors"
	// Floors are guaranteed shares that add up to more than the capacity.
	Floors Kind = "floors"
	// DeadlineUnderTarget is a deadline that is shorter than the target latency.
	DeadlineUnderTarget Kind = "deadlineUnderTarget"
	// TimeoutUnderEstimate is a timeout that is shorter than the estimate of the work.
	TimeoutUnderEstimate Kind = "timeoutUnderEstimate"
	// NoAttempts is a number of attempts of 0.
	NoAttempts Kind = "noAttempts"
	// BodyLimit is a body limit over that of the platform.
	BodyLimit Kind = "bodyLimit"
	// StrandedWork is accepted work that a change makes impossible.
	StrandedWork Kind = "strandedWork"
	// OldVersion is a version that the processes ignore or refuse.
	OldVersion Kind = "oldVersion"
)

// Kinds returns all kinds of findings.
func Kinds() []Kind {
	return []Kind{
		UnknownField, InvalidValue, DuplicateName, Precedence, UnmatchedSelector, NoExecutors, Floors, DeadlineUnderTarget,
		TimeoutUnderEstimate, NoAttempts, BodyLimit, StrandedWork, OldVersion,
	}
}

// None is the Index of a finding about the whole input or about an object that the
// input does not contain.
const None = -1

// Finding is one fault or likely mistake of a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	// Line is the line in the input, or 0 if it is not known.
	Line   int    `json:"line,omitempty"`
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	Text   string `json:"finding"`
	Remedy string `json:"remedy"`
	// Index is the position of the object in the input, or None.
	Index int `json:"-"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes is the difference from the version in force; it is nil if there was
	// nothing to compare with.
	Changes []Change `json:"changes,omitempty"`
}

// Sort orders the findings by line, object and field.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field))
	})
}
