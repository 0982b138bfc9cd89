package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

const (
	maxAnswer = 16 << 20
	retry     = time.Second
)

// Request is the body of every call; each operation uses the fields it needs.
type Request struct {
	Spec  oleandervalve.TaskSpec `json:"spec"`
	Task  oleandervalve.TaskID   `json:"task,omitempty"`
	Epoch oleandervalve.Epoch    `json:"epoch,omitempty"`
	Tasks []oleandervalve.TaskID `json:"tasks,omitempty"`
	Lease time.Duration          `json:"leaseNs,omitempty"`
	Share float64                `json:"share"`
	Since time.Time              `json:"since"`
}

// Response is the body of every answer.
type Response struct {
	Status     oleandervalve.WorkerStatus  `json:"status"`
	Samples    []oleandervalve.UsageSample `json:"samples,omitempty"`
	Checkpoint []byte                      `json:"checkpoint,omitempty"`
}

// Client reaches the platform over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL; each call ends after the timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{url: base, http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}}
}

// Start runs a task under a lease.
func (c *Client) Start(ctx context.Context, w oleandervalve.WorkerID, spec oleandervalve.TaskSpec, lease time.Duration) error {
	_, err := c.call(ctx, w, "start", Request{Spec: spec, Lease: lease})
	return err
}

// Renew extends the leases of tasks.
func (c *Client) Renew(ctx context.Context, w oleandervalve.WorkerID, tasks []oleandervalve.TaskID, lease time.Duration) error {
	_, err := c.call(ctx, w, "renew", Request{Tasks: tasks, Lease: lease})
	return err
}

// Stop ends a task; a task that is not there counts as stopped.
func (c *Client) Stop(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, e oleandervalve.Epoch) error {
	_, err := c.call(ctx, w, "stop", Request{Task: t, Epoch: e})
	var missing *oleandervalve.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

// Checkpoint returns the state of a task.
func (c *Client) Checkpoint(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, e oleandervalve.Epoch) ([]byte, error) {
	p, err := c.call(ctx, w, "checkpoint", Request{Task: t, Epoch: e})
	return p.Checkpoint, err
}

// Throttle limits a task to a share of its processor allowance.
func (c *Client) Throttle(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, share float64) error {
	_, err := c.call(ctx, w, "throttle", Request{Task: t, Share: share})
	return err
}

// Status returns what the platform knows of a worker.
func (c *Client) Status(ctx context.Context, w oleandervalve.WorkerID) (oleandervalve.WorkerStatus, error) {
	p, err := c.call(ctx, w, "status", Request{})
	return p.Status, err
}

// Usage returns samples newer than the given time.
func (c *Client) Usage(ctx context.Context, w oleandervalve.WorkerID, since time.Time) ([]oleandervalve.UsageSample, error) {
	p, err := c.call(ctx, w, "usage", Request{Since: since})
	return p.Samples, err
}

func (c *Client) call(ctx context.Context, w oleandervalve.WorkerID, operation string, q Request) (Response, error) {
	var out Response
	b, err := json.Marshal(q)
	if err != nil {
		return out, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/workers/"+url.PathEscape(string(w))+"/"+operation, bytes.NewReader(b))
	if err != nil {
		return out, err
	}
	p, err := c.http.Do(r)
	if err != nil {
		return out, transportError(operation, err)
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	if err != nil {
		return out, transportError(operation, err)
	}
	switch p.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, &out); err != nil {
			return Response{}, transportError(operation, err)
		}
		return out, nil
	case http.StatusNotFound:
		return out, &oleandervalve.NotFoundError{Kind: "task or worker", Name: string(w), Remedy: "it has ended, or was never started there"}
	case http.StatusGone:
		return out, &oleandervalve.NotFoundError{Kind: "worker", Name: string(w), Remedy: "the platform has ended this worker"}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return out, unavailable(errors.Newf("status %d", p.StatusCode))
	}
	return out, transportError(operation, errors.Newf("status %d", p.StatusCode))
}

// transportError tells calls without effect, which never left or only read,
// from those whose answer was lost.
func transportError(operation string, err error) error {
	var dial *net.OpError
	if operation == "status" || operation == "usage" || (errors.As(err, &dial) && dial.Op == "dial") {
		return unavailable(err)
	}
	return unknown(operation, err)
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{
		Service: "worker platform", Remedy: "retry later; the call had no effect", RetryAfter: retry, Cause: cause,
	}
}

func unknown(operation string, cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "platform " + operation, Remedy: "read the worker's status before repeating it", Cause: cause,
	}
}
