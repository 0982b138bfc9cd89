package objecthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

const maxObject = 8 << 20

// Client reaches the object store over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the store at a base URL; each call ends after the timeout.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Create stores an object under a new name; *oleandervalve.ExistsError if it is taken.
func (c *Client) Create(ctx context.Context, name string, body []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, name, body)
	if err != nil {
		return &oleandervalve.UnknownOutcomeError{Operation: "object create", Remedy: "read the object back before creating it again", Cause: err}
	}
	if status == http.StatusConflict {
		return &oleandervalve.ExistsError{Name: name}
	}
	return statusError(status)
}

// Get returns an object's body.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	status, body, err := c.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	if status == http.StatusNotFound {
		return nil, &oleandervalve.NotFoundError{Kind: "object", Name: name, Remedy: "check the name of the checkpoint"}
	}
	if err := statusError(status); err != nil {
		return nil, err
	}
	var out []byte
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, unavailable(err)
	}
	return out, nil
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, name string) error {
	status, _, err := c.call(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return unavailable(err)
	}
	return statusError(status)
}

func (c *Client) call(ctx context.Context, method, name string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+"/v1/objects/"+name, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	p, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxObject))
	return p.StatusCode, b, err
}

func statusError(status int) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	return unavailable(errors.Newf("status %d", status))
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{
		Service: "object store", Remedy: "retry later; the call had no effect", RetryAfter: time.Second, Cause: cause,
	}
}
