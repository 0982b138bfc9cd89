package callerhttp

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"oleandervalve"
)

// KeyError is the result of a call with an idempotency key for which there is no
// response of the service.
type KeyError struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome    oleandervalve.Outcome
	Reason     oleandervalve.Reason
	Remedy     string
	RetryAfter time.Duration
	// Status is the HTTP status of the error response.
	Status int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("outcome of the request with this idempotency key is %s (%s): %s", e.Outcome, e.Reason, e.Remedy)
}

// Unwrap returns the error that a call without a key would have with the same outcome.
func (e *KeyError) Unwrap() error {
	if e.Outcome == oleandervalve.OutcomeNotRun {
		return &oleandervalve.NotRunError{Reason: e.Reason, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
	}
	return &oleandervalve.UnknownOutcomeError{Operation: string(e.Reason), Remedy: e.Remedy}
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}
