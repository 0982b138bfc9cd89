package tablehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

const (
	maxResponseBytes      = 16 << 20
	unavailableRetryDelay = time.Second
	serviceName           = "table"
	remedyUnavailable     = "retry later; the table refused the call before it took effect"
)

// GetRequest is the body of a request for single rows.
type GetRequest struct {
	Keys []oleandervalve.Key `json:"keys"`
}

// GetResponse holds the rows in the order of the requested keys.
type GetResponse struct {
	Rows []oleandervalve.Row `json:"rows"`
}

// ScanRequest is the body of a request for one page of the rows whose keys have
// a prefix.
type ScanRequest struct {
	Prefix oleandervalve.Key `json:"prefix"`
	After  oleandervalve.Key `json:"after,omitempty"`
	Limit  int               `json:"limit"`
}

// Conflict is the body of the response to a commit whose precondition failed.
type Conflict struct {
	Key      oleandervalve.Key     `json:"key"`
	Expected oleandervalve.Version `json:"expected"`
	Current  oleandervalve.Row     `json:"current"`
}

// Client calls the table service over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the table service at a base URL. Each call is
// limited to the timeout.
func NewClient(url string, timeout time.Duration) *Client {
	d := net.Dialer{Timeout: timeout}
	return &Client{url: url, http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}}
}

// Get returns the rows with the given keys.
func (c *Client) Get(ctx context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	var out GetResponse
	if err := c.query(ctx, "/v1/get", GetRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, unavailable(errors.Newf("table returned %d rows for %d keys", len(out.Rows), len(keys)))
	}
	return out.Rows, nil
}

// Scan returns the page of up to limit rows that follows the key after.
func (c *Client) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	var out oleandervalve.Page
	err := c.query(ctx, "/v1/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit}, &out)
	return out, err
}

// Commit applies a transaction. An error that doesn't say whether the
// transaction took effect is *oleandervalve.UnknownOutcomeError.
func (c *Client) Commit(ctx context.Context, t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	status, body, err := c.post(ctx, "/v1/commit", t)
	if err != nil {
		return oleandervalve.Committed{}, classifyCommitError(err)
	}
	switch status {
	case http.StatusOK:
		var out oleandervalve.Committed
		if err := json.Unmarshal(body, &out); err != nil {
			return oleandervalve.Committed{}, unknownOutcome(err)
		}
		if len(out.Versions) != len(t.Puts) {
			return oleandervalve.Committed{}, unknownOutcome(errors.Newf("table returned %d versions for %d puts", len(out.Versions), len(t.Puts)))
		}
		return out, nil
	case http.StatusConflict:
		var out Conflict
		if err := json.Unmarshal(body, &out); err != nil {
			return oleandervalve.Committed{}, unknownOutcome(err)
		}
		if out.Key == "" {
			return oleandervalve.Committed{}, unknownOutcome(errors.New("table reported a conflict without a key"))
		}
		return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: out.Key, Expected: out.Expected, Current: out.Current}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return oleandervalve.Committed{}, unavailable(errors.Newf("status %d", status))
	case http.StatusBadRequest:
		return oleandervalve.Committed{}, &oleandervalve.InvalidError{Field: "transaction", Value: string(t.ID), Remedy: string(body)}
	}
	return oleandervalve.Committed{}, unknownOutcome(errors.Newf("status %d", status))
}

func (c *Client) query(ctx context.Context, path string, request, response any) error {
	status, body, err := c.post(ctx, path, request)
	if err != nil {
		return unavailable(err)
	}
	if status != http.StatusOK {
		return unavailable(errors.Newf("status %d", status))
	}
	if err := json.Unmarshal(body, response); err != nil {
		return unavailable(err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, payload any) (int, []byte, error) {
	b, err := json.Marshal(payload)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

// classifyCommitError distinguishes a commit that was never sent, because the
// connection failed, from one whose outcome is unknown.
func classifyCommitError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return unavailable(err)
	}
	return unknownOutcome(err)
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{Service: serviceName, Remedy: remedyUnavailable, RetryAfter: unavailableRetryDelay, Cause: cause}
}

func unknownOutcome(cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "table commit", Remedy: "read the rows back and compare the mutation id", Cause: cause,
	}
}
