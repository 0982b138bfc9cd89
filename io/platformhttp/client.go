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
	maxResponseBytes = 16 << 20
	retryDelay       = time.Second
)

// Request is the request body of every operation; each operation uses only the
// fields it needs.
type Request struct {
	Spec  oleandervalve.TaskSpec `json:"spec"`
	Task  oleandervalve.TaskID   `json:"task,omitempty"`
	Epoch oleandervalve.Epoch    `json:"epoch,omitempty"`
	Tasks []oleandervalve.TaskID `json:"tasks,omitempty"`
	Lease time.Duration          `json:"leaseNs,omitempty"`
	Share float64                `json:"share"`
	Since time.Time              `json:"since"`
}

// Response is the response body of every operation; each operation sets only
// the fields it returns.
type Response struct {
	Status     oleandervalve.WorkerStatus  `json:"status"`
	Samples    []oleandervalve.UsageSample `json:"samples,omitempty"`
	Checkpoint []byte                      `json:"checkpoint,omitempty"`
}

// Client calls the platform over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL. Each call is limited
// to the timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{url: base, http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}}
}

// Start starts a task on a worker under a lease.
func (c *Client) Start(ctx context.Context, w oleandervalve.WorkerID, spec oleandervalve.TaskSpec, lease time.Duration) error {
	_, err := c.call(ctx, w, "start", Request{Spec: spec, Lease: lease})
	return err
}

// Renew extends the leases of tasks on a worker.
func (c *Client) Renew(ctx context.Context, w oleandervalve.WorkerID, tasks []oleandervalve.TaskID, lease time.Duration) error {
	_, err := c.call(ctx, w, "renew", Request{Tasks: tasks, Lease: lease})
	return err
}

// Stop ends a task. It succeeds if the task or its worker does not exist.
func (c *Client) Stop(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, e oleandervalve.Epoch) error {
	_, err := c.call(ctx, w, "stop", Request{Task: t, Epoch: e})
	var notFound *oleandervalve.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	return err
}

// Checkpoint returns the serialised state of a task.
func (c *Client) Checkpoint(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, e oleandervalve.Epoch) ([]byte, error) {
	p, err := c.call(ctx, w, "checkpoint", Request{Task: t, Epoch: e})
	return p.Checkpoint, err
}

// Throttle limits a task to a share of its processor allowance.
func (c *Client) Throttle(ctx context.Context, w oleandervalve.WorkerID, t oleandervalve.TaskID, share float64) error {
	_, err := c.call(ctx, w, "throttle", Request{Task: t, Share: share})
	return err
}

// Status returns the state of a worker as the platform reports it.
func (c *Client) Status(ctx context.Context, w oleandervalve.WorkerID) (oleandervalve.WorkerStatus, error) {
	p, err := c.call(ctx, w, "status", Request{})
	return p.Status, err
}

// Usage returns the usage samples of a worker that are newer than since.
func (c *Client) Usage(ctx context.Context, w oleandervalve.WorkerID, since time.Time) ([]oleandervalve.UsageSample, error) {
	p, err := c.call(ctx, w, "usage", Request{Since: since})
	return p.Samples, err
}

func (c *Client) call(ctx context.Context, w oleandervalve.WorkerID, operation string, request Request) (Response, error) {
	var out Response
	b, err := json.Marshal(request)
	if err != nil {
		return out, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/workers/"+url.PathEscape(string(w))+"/"+operation, bytes.NewReader(b))
	if err != nil {
		return out, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, classifyCallError(operation, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return out, classifyCallError(operation, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, &out); err != nil {
			return Response{}, classifyCallError(operation, err)
		}
		return out, nil
	case http.StatusNotFound:
		return out, &oleandervalve.NotFoundError{Kind: "task or worker", Name: string(w), Remedy: "it has ended, or was never started there"}
	case http.StatusGone:
		return out, &oleandervalve.NotFoundError{Kind: "worker", Name: string(w), Remedy: "the platform has ended this worker"}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return out, unavailable(errors.Newf("status %d", resp.StatusCode))
	}
	return out, classifyCallError(operation, errors.Newf("status %d", resp.StatusCode))
}

// classifyCallError distinguishes calls that had no effect, because they only
// read or were never sent, from calls whose outcome is unknown.
func classifyCallError(operation string, err error) error {
	var opError *net.OpError
	if operation == "status" || operation == "usage" || (errors.As(err, &opError) && opError.Op == "dial") {
		return unavailable(err)
	}
	return unknownOutcome(operation, err)
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{
		Service: "worker platform", Remedy: "retry later; the call had no effect", RetryAfter: retryDelay, Cause: cause,
	}
}

func unknownOutcome(operation string, cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "platform " + operation, Remedy: "read the worker's status before repeating it", Cause: cause,
	}
}
