package jobhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/taskowner"
)

const maxBodyBytes = 64 << 10

// Jobs is the store of jobs behind the API.
type Jobs interface {
	// Submit accepts a new job.
	Submit(ctx context.Context, s taskowner.JobSpec) error
	// Status returns the status of a job of the team, or of any team if team is empty.
	Status(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (taskowner.JobStatus, error)
	// Cancel cancels a job of the team, or of any team if team is empty.
	Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error
}

// ErrorBody is the JSON body of every response that reports an error.
type ErrorBody struct {
	Reason  oleandervalve.Reason `json:"reason"`
	Message string               `json:"message"`
}

type handler struct {
	jobs Jobs
	auth callerhttp.Authenticator
}

// Handler returns the handler of /v1/jobs and /v1/jobs/{job}.
func Handler(j Jobs, a callerhttp.Authenticator) http.Handler {
	h := &handler{jobs: j, auth: a}
	m := mux.NewRouter()
	m.HandleFunc("/v1/jobs", h.authenticated(h.submit)).Methods(http.MethodPost)
	m.HandleFunc("/v1/jobs/{job}", h.authenticated(h.status)).Methods(http.MethodGet)
	m.HandleFunc("/v1/jobs/{job}", h.authenticated(h.cancel)).Methods(http.MethodDelete)
	return m
}

// authenticated wraps an operation: it authenticates the request, calls the
// operation, and writes its response or error as JSON.
func (h *handler) authenticated(call func(w http.ResponseWriter, r *http.Request, identity callerhttp.Identity) (int, any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		identity, err := h.auth.Authenticate(r)
		if err != nil {
			writeError(w, err)
			return
		}
		status, response, err := call(w, r, identity)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, status, response)
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, identity callerhttp.Identity) (int, any, error) {
	var s taskowner.JobSpec
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unavailable *oleandervalve.UnavailableError
		if errors.As(err, &unavailable) {
			return 0, nil, unavailable
		}
		return 0, nil, &oleandervalve.InvalidError{Field: "body", Value: "job", Remedy: "send one JSON object with known fields: " + err.Error()}
	}
	if identity.Team != "" {
		if s.Team != "" && s.Team != identity.Team {
			return 0, nil, &oleandervalve.NotRunError{Reason: "forbidden", Remedy: "submit jobs for the team of the token"}
		}
		s.Team = identity.Team
	}
	if err := h.jobs.Submit(r.Context(), s); err != nil {
		return 0, nil, err
	}
	return http.StatusCreated, map[string]oleandervalve.JobID{"job": s.Job}, nil
}

func (h *handler) status(_ http.ResponseWriter, r *http.Request, identity callerhttp.Identity) (int, any, error) {
	s, err := h.jobs.Status(r.Context(), oleandervalve.JobID(mux.Vars(r)["job"]), identity.Team)
	return http.StatusOK, s, err
}

func (h *handler) cancel(_ http.ResponseWriter, r *http.Request, identity callerhttp.Identity) (int, any, error) {
	j := oleandervalve.JobID(mux.Vars(r)["job"])
	return http.StatusAccepted, map[string]oleandervalve.JobID{"job": j}, h.jobs.Cancel(r.Context(), j, identity.Team)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	var invalid *oleandervalve.InvalidError
	var conflict *oleandervalve.ConflictError
	var notFound *oleandervalve.NotFoundError
	var notRun *oleandervalve.NotRunError
	var unavailable *oleandervalve.UnavailableError
	var unauthorized *callerhttp.UnauthorizedError
	status, reason := http.StatusGatewayTimeout, oleandervalve.Reason("unknownOutcome")
	switch {
	case errors.As(err, &invalid):
		status, reason = http.StatusBadRequest, "invalidJob"
	case errors.As(err, &conflict):
		status, reason = http.StatusConflict, "jobExists"
	case errors.As(err, &notFound):
		status, reason = http.StatusNotFound, "notFound"
	case errors.As(err, &notRun) && notRun.Reason == "notReady":
		status, reason = http.StatusServiceUnavailable, notRun.Reason
	case errors.As(err, &notRun):
		status, reason = http.StatusForbidden, notRun.Reason
	case errors.As(err, &unauthorized):
		status, reason = http.StatusUnauthorized, "unauthorized"
	case errors.As(err, &unavailable):
		status, reason = http.StatusServiceUnavailable, "notAccepted"
		seconds := max(1, int64((unavailable.RetryAfter+time.Second-1)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, status, ErrorBody{Reason: reason, Message: err.Error()})
}
