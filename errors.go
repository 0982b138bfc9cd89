package oleandervalve

import (
	"fmt"
	"time"
)

// Outcome is the final result of a request.
type Outcome string

const (
	// OutcomeAnswered means that the caller received the endpoint's complete response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is a short code in camelCase for the cause of a refusal.
type Reason string

// NotRunError reports a request that was refused and certainly did not run.
type NotRunError struct {
	Reason     Reason
	Remedy     string
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("request was not run (%s): %s", e.Reason, e.Remedy)
}

// UnknownOutcomeError reports an operation that may have taken effect.
type UnknownOutcomeError struct {
	Operation string
	Remedy    string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %s", e.Operation, e.Remedy)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports a service that could not process a request, for example
// because it could not be reached. The operation had no effect.
type UnavailableError struct {
	Service    string
	Remedy     string
	RetryAfter time.Duration
	Cause      error
	// NotListening means that no process listens at the service's address.
	NotListening bool
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %s", e.Service, e.Remedy)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ConflictError reports a transaction that was not applied because one of its
// conditions does not hold.
type ConflictError struct {
	Key      Key
	Expected Version
	Current  Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d, not %d: read it again and repeat the change on the current version",
		string(e.Key), e.Current.Version, e.Expected)
}

// InvalidError reports an invalid value of an input field.
type InvalidError struct {
	Field  string
	Value  string
	Remedy string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: invalid value %q: %s", e.Field, e.Value, e.Remedy)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind   string
	Name   string
	Remedy string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist: %s", e.Kind, e.Name, e.Remedy)
}

// ExistsError reports that an object was not created because its name is in use.
type ExistsError struct {
	Name string
}

func (e *ExistsError) Error() string {
	return fmt.Sprintf("object %q exists already: read it, or use another name", e.Name)
}
