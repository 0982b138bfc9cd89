package endpointhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"oleandervalve"
)

const maxAnnouncementBytes = 16 << 10

// Registry handles the announcements of endpoints.
type Registry interface {
	// Announce registers an endpoint or updates it. It returns
	// *oleandervalve.InvalidError if the announcement can't be accepted.
	Announce(oleandervalve.Announcement) error
	// Leave marks an endpoint as leaving.
	Leave(oleandervalve.EndpointID)
}

// Handler serves the announcement API that endpoints call on the agent of their instance.
func Handler(r Registry) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/endpoints/{id}", func(w http.ResponseWriter, q *http.Request) {
		var a oleandervalve.Announcement
		d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxAnnouncementBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			var unavailable *oleandervalve.UnavailableError
			if errors.As(err, &unavailable) {
				w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(unavailable.RetryAfter.Seconds()))))
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			http.Error(w, "announcement is not valid JSON: "+err.Error(), http.StatusBadRequest)
			return
		}
		a.Endpoint = oleandervalve.EndpointID(mux.Vars(q)["id"])
		if err := r.Announce(a); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut)
	m.HandleFunc("/v1/endpoints/{id}", func(w http.ResponseWriter, q *http.Request) {
		r.Leave(oleandervalve.EndpointID(mux.Vars(q)["id"]))
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	return m
}

// Announce sends one announcement to an agent.
func Announce(ctx context.Context, c *http.Client, agentURL string, a oleandervalve.Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return send(ctx, c, http.MethodPut, agentURL+"/v1/endpoints/"+string(a.Endpoint), b)
}

// Leave notifies an agent that an endpoint is leaving.
func Leave(ctx context.Context, c *http.Client, agentURL string, id oleandervalve.EndpointID) error {
	return send(ctx, c, http.MethodDelete, agentURL+"/v1/endpoints/"+string(id), nil)
}

func send(ctx context.Context, c *http.Client, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return &oleandervalve.UnavailableError{Service: "agent", Remedy: "check that the agent beside the endpoint runs", Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return &oleandervalve.InvalidError{Field: "announcement", Value: resp.Status, Remedy: "correct the announced values"}
	}
	return nil
}
