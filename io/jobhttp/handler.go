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

const maxBody = 64 << 10

// Jobs accepts, reads and cancels jobs.
type Jobs interface {
	// Submit accepts a job.
	Submit(ctx context.Context, s taskowner.JobSpec) error
	// Status reads a job of a team; an empty team reads any.
	Status(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) (taskowner.JobStatus, error)
	// Cancel cancels a job of a team; an empty team cancels any.
	Cancel(ctx context.Context, j oleandervalve.JobID, team oleandervalve.TeamID) error
}

// ErrorBody is the JSON body of a refused call.
type ErrorBody struct {
	Reason  oleandervalve.Reason `json:"reason"`
	Message string               `json:"message"`
}

type handler struct {
	jobs Jobs
	auth callerhttp.Authenticator
}

// Handler serves /v1/jobs.
func Handler(j Jobs, a callerhttp.Authenticator) http.Handler {
	h := &handler{jobs: j, auth: a}
	m := mux.NewRouter()
	m.HandleFunc("/v1/jobs", h.with(h.submit)).Methods(http.MethodPost)
	m.HandleFunc("/v1/jobs/{job}", h.with(h.status)).Methods(http.MethodGet)
	m.HandleFunc("/v1/jobs/{job}", h.with(h.cancel)).Methods(http.MethodDelete)
	return m
}

// with authenticates a call and writes its answer or error.
func (h *handler) with(call func(w http.ResponseWriter, r *http.Request, who callerhttp.Identity) (int, any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := h.auth.Authenticate(r)
		if err != nil {
			writeError(w, err)
			return
		}
		status, answer, err := call(w, r, who)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, status, answer)
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, who callerhttp.Identity) (int, any, error) {
	var s taskowner.JobSpec
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return 0, nil, &oleandervalve.InvalidError{Field: "body", Value: "job", Remedy: "send one JSON object with known fields: " + err.Error()}
	}
	if who.Team != "" {
		if s.Team != "" && s.Team != who.Team {
			return 0, nil, &oleandervalve.NotRunError{Reason: "forbidden", Remedy: "submit jobs for the team of the token"}
		}
		s.Team = who.Team
	}
	if err := h.jobs.Submit(r.Context(), s); err != nil {
		return 0, nil, err
	}
	return http.StatusCreated, map[string]oleandervalve.JobID{"job": s.Job}, nil
}

func (h *handler) status(_ http.ResponseWriter, r *http.Request, who callerhttp.Identity) (int, any, error) {
	s, err := h.jobs.Status(r.Context(), oleandervalve.JobID(mux.Vars(r)["job"]), who.Team)
	return http.StatusOK, s, err
}

func (h *handler) cancel(_ http.ResponseWriter, r *http.Request, who callerhttp.Identity) (int, any, error) {
	j := oleandervalve.JobID(mux.Vars(r)["job"])
	return http.StatusAccepted, map[string]oleandervalve.JobID{"job": j}, h.jobs.Cancel(r.Context(), j, who.Team)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	var invalid *oleandervalve.InvalidError
	var conflict *oleandervalve.ConflictError
	var missing *oleandervalve.NotFoundError
	var notRun *oleandervalve.NotRunError
	var unavailable *oleandervalve.UnavailableError
	var unauthorized *callerhttp.UnauthorizedError
	status, reason := http.StatusGatewayTimeout, oleandervalve.Reason("unknownOutcome")
	switch {
	case errors.As(err, &invalid):
		status, reason = http.StatusBadRequest, "invalidJob"
	case errors.As(err, &conflict):
		status, reason = http.StatusConflict, "jobExists"
	case errors.As(err, &missing):
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
