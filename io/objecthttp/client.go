package objecthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
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
		return writeError("object create", err)
	}
	if status == http.StatusConflict {
		return &oleandervalve.ExistsError{Name: name}
	}
	return writeStatus("object create", status)
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
	if status != http.StatusOK {
		return nil, unavailable(errors.Newf("status %d", status))
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
		return writeError("object delete", err)
	}
	return writeStatus("object delete", status)
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

// writeError tells a write that never left from one whose answer was lost.
func writeError(operation string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return unavailable(err)
	}
	return unknown(operation, err)
}

// writeStatus interprets the status of a write; only a refusal proves that
// nothing was written.
func writeStatus(operation string, status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return unavailable(errors.Newf("status %d", status))
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &oleandervalve.InvalidError{Field: operation, Value: strconv.Itoa(status), Remedy: "correct the name or the size of the object"}
	}
	return unknown(operation, errors.Newf("status %d", status))
}

func unknown(operation string, cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: operation, Remedy: "read the object back before repeating it", Cause: cause,
	}
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{
		Service: "object store", Remedy: "retry later; the call had no effect", RetryAfter: time.Second, Cause: cause,
	}
}
