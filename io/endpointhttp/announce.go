package endpointhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"oleandervalve"
)

const maxAnnouncement = 16 << 10

// Registry takes the announcements of endpoints.
type Registry interface {
	// Announce records an endpoint; *oleandervalve.InvalidError if it can't be accepted.
	Announce(oleandervalve.Announcement) error
	// Leave marks an endpoint as leaving.
	Leave(oleandervalve.EndpointID)
}

// Handler serves the announcement API that endpoints call on the agent beside them.
func Handler(r Registry) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/endpoints/{id}", func(w http.ResponseWriter, q *http.Request) {
		var a oleandervalve.Announcement
		d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxAnnouncement))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
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

// Leave tells an agent that an endpoint leaves.
func Leave(ctx context.Context, c *http.Client, agentURL string, id oleandervalve.EndpointID) error {
	return send(ctx, c, http.MethodDelete, agentURL+"/v1/endpoints/"+string(id), nil)
}

func send(ctx context.Context, c *http.Client, method, url string, body []byte) error {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	p, err := c.Do(q)
	if err != nil {
		return &oleandervalve.UnavailableError{Service: "agent", Remedy: "check that the agent beside the endpoint runs", Cause: err}
	}
	defer p.Body.Close()
	if p.StatusCode >= http.StatusBadRequest {
		return &oleandervalve.InvalidError{Field: "announcement", Value: p.Status, Remedy: "correct the announced values"}
	}
	return nil
}
