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

const maxResponseBytes = 8 << 20

// Client calls the object store over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the object store at a base URL. Each call is
// limited to the timeout.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Create stores an object under a new name. It returns *oleandervalve.ExistsError
// if an object with this name exists.
func (c *Client) Create(ctx context.Context, name string, body []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, name, body)
	if err != nil {
		return classifyWriteError("object create", err)
	}
	if status == http.StatusConflict {
		return &oleandervalve.ExistsError{Name: name}
	}
	return classifyWriteStatus("object create", status)
}

// Get returns the body of an object, or *oleandervalve.NotFoundError.
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

// Delete removes an object by name.
func (c *Client) Delete(ctx context.Context, name string) error {
	status, _, err := c.call(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return classifyWriteError("object delete", err)
	}
	return classifyWriteStatus("object delete", status)
}

func (c *Client) call(ctx context.Context, method, name string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+"/v1/objects/"+name, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, b, err
}

// classifyWriteError distinguishes a write that was never sent, because the
// connection failed, from one whose outcome is unknown.
func classifyWriteError(operation string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return unavailable(err)
	}
	return unknownOutcome(operation, err)
}

// classifyWriteStatus maps the HTTP status of a write to an error. Only a 4xx
// status or 503 proves that nothing was written.
func classifyWriteStatus(operation string, status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return unavailable(errors.Newf("status %d", status))
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &oleandervalve.InvalidError{Field: operation, Value: strconv.Itoa(status), Remedy: "correct the name or the size of the object"}
	}
	return unknownOutcome(operation, errors.Newf("status %d", status))
}

func unknownOutcome(operation string, cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: operation, Remedy: "read the object back before repeating it", Cause: cause,
	}
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{
		Service: "object store", Remedy: "retry later; the call had no effect", RetryAfter: time.Second, Cause: cause,
	}
}
