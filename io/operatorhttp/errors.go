package operatorhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// Problem describes one invalid field.
type Problem struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Remedy string `json:"remedy"`
}

// APIError is the body of every error response and the error that the client returns.
type APIError struct {
	Status   int                  `json:"status"`
	Reason   oleandervalve.Reason `json:"reason"`
	Message  string               `json:"message"`
	Remedy   string               `json:"remedy"`
	Problems []Problem            `json:"problems,omitempty"`
	// Both versions and the current object are set on a conflict.
	ExpectedVersion *oleandervalve.Version `json:"expectedVersion,omitempty"`
	CurrentVersion  *oleandervalve.Version `json:"currentVersion,omitempty"`
	Current         *operator.Object       `json:"current,omitempty"`
	RetryAfterMS    int64                  `json:"retryAfterMs,omitempty"`
}

func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Message, e.Reason, e.Remedy)
}

// Reasons of error responses.
const (
	ReasonInvalid        oleandervalve.Reason = "invalid"
	ReasonConflict       oleandervalve.Reason = "conflict"
	ReasonChangeIDReused oleandervalve.Reason = "changeIdReused"
	ReasonForbidden      oleandervalve.Reason = "forbidden"
	ReasonNotFound       oleandervalve.Reason = "notFound"
	ReasonUnavailable    oleandervalve.Reason = "unavailable"
	ReasonUnknownOutcome oleandervalve.Reason = "unknownOutcome"
	ReasonInternal       oleandervalve.Reason = "internal"
	ReasonUnauthorized   oleandervalve.Reason = "unauthorized"
	ReasonRateLimited    oleandervalve.Reason = "rateLimited"
	ReasonTooLarge       oleandervalve.Reason = "tooLarge"
	ReasonNotReady       oleandervalve.Reason = "notReady"
)

// toAPIError converts any error to the body of an error response.
func toAPIError(err error) *APIError {
	var (
		api         *APIError
		validation  *operator.ValidationError
		invalid     *oleandervalve.InvalidError
		conflict    *operator.ConflictError
		reused      *operator.ChangeIDReusedError
		forbidden   *operator.ForbiddenError
		notFound    *oleandervalve.NotFoundError
		unknown     *oleandervalve.UnknownOutcomeError
		unavailable *oleandervalve.UnavailableError
	)
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &validation):
		e := &APIError{
			Status: http.StatusBadRequest, Reason: ReasonInvalid, Remedy: "correct the listed fields",
			Message: fmt.Sprintf("%s has %d invalid field(s)", validation.Ref, len(validation.Problems)),
		}
		for _, p := range validation.Problems {
			e.Problems = append(e.Problems, Problem(p))
		}
		return e
	case errors.As(err, &invalid):
		return &APIError{
			Status: http.StatusBadRequest, Reason: ReasonInvalid, Message: "invalid value for " + invalid.Field,
			Remedy: invalid.Remedy, Problems: []Problem{Problem(*invalid)},
		}
	case errors.As(err, &conflict):
		e := &APIError{
			Status: http.StatusConflict, Reason: ReasonConflict, Remedy: conflict.Remedy(),
			Message:         fmt.Sprintf("%s is at version %d, not %d", conflict.Ref, conflict.Current, conflict.Expected),
			ExpectedVersion: &conflict.Expected, CurrentVersion: &conflict.Current,
		}
		if conflict.Object != nil {
			o := conflict.Object.Redacted()
			e.Current = &o
		}
		return e
	case errors.As(err, &reused):
		return &APIError{Status: http.StatusConflict, Reason: ReasonChangeIDReused, Message: reused.Error(), Remedy: "use a new change id"}
	case errors.As(err, &forbidden):
		return &APIError{
			Status: http.StatusForbidden, Reason: ReasonForbidden, Remedy: forbidden.Remedy,
			Message: fmt.Sprintf("%s may not %s", forbidden.Actor, forbidden.Action),
		}
	case errors.As(err, &notFound):
		return &APIError{
			Status: http.StatusNotFound, Reason: ReasonNotFound, Remedy: notFound.Remedy,
			Message: fmt.Sprintf("%s %q does not exist", notFound.Kind, notFound.Name),
		}
	case errors.As(err, &unknown):
		return &APIError{
			Status: http.StatusGatewayTimeout, Reason: ReasonUnknownOutcome, Remedy: unknown.Remedy,
			Message: "outcome of " + unknown.Operation + " is unknown",
		}
	case errors.As(err, &unavailable):
		return &APIError{
			Status: http.StatusServiceUnavailable, Reason: ReasonUnavailable, Remedy: unavailable.Remedy,
			Message: unavailable.Service + " is unavailable; nothing was changed", RetryAfterMS: max(unavailable.RetryAfter, time.Second).Milliseconds(),
		}
	}
	return &APIError{
		Status: http.StatusInternalServerError, Reason: ReasonInternal,
		Message: "the entry could not answer", Remedy: "look for the request in the entry's log",
	}
}

func (a *API) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := toAPIError(err)
	if e.Reason == ReasonInternal {
		a.log.WithError(err).WithField("path", r.URL.Path).Error("operator request failed")
	}
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, e.Status, e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
