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
	maxAnswer         = 16 << 20
	retryWhenDown     = time.Second
	serviceName       = "table"
	remedyUnavailable = "retry later; the table refused the call before it took effect"
)

// GetRequest asks for rows.
type GetRequest struct {
	Keys []oleandervalve.Key `json:"keys"`
}

// GetResponse holds the rows in the order of the keys.
type GetResponse struct {
	Rows []oleandervalve.Row `json:"rows"`
}

// ScanRequest asks for rows by prefix.
type ScanRequest struct {
	Prefix oleandervalve.Key `json:"prefix"`
	After  oleandervalve.Key `json:"after,omitempty"`
	Limit  int               `json:"limit"`
}

// Conflict is the body of a refused commit.
type Conflict struct {
	Key      oleandervalve.Key     `json:"key"`
	Expected oleandervalve.Version `json:"expected"`
	Current  oleandervalve.Row     `json:"current"`
}

// Client reaches the table over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the table at a base URL; each call ends after the timeout.
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
	if err := c.read(ctx, "/v1/get", GetRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, unavailable(errors.Newf("table returned %d rows for %d keys", len(out.Rows), len(keys)))
	}
	return out.Rows, nil
}

// Scan returns a page of rows.
func (c *Client) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	var out oleandervalve.Page
	err := c.read(ctx, "/v1/scan", ScanRequest{Prefix: prefix, After: after, Limit: limit}, &out)
	return out, err
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, t oleandervalve.Transaction) (oleandervalve.Committed, error) {
	status, body, err := c.post(ctx, "/v1/commit", t)
	if err != nil {
		return oleandervalve.Committed{}, commitError(err)
	}
	switch status {
	case http.StatusOK:
		var out oleandervalve.Committed
		if err := json.Unmarshal(body, &out); err != nil {
			return oleandervalve.Committed{}, unknown(err)
		}
		if len(out.Versions) != len(t.Puts) {
			return oleandervalve.Committed{}, unknown(errors.Newf("table returned %d versions for %d puts", len(out.Versions), len(t.Puts)))
		}
		return out, nil
	case http.StatusConflict:
		var out Conflict
		if err := json.Unmarshal(body, &out); err != nil {
			return oleandervalve.Committed{}, unknown(err)
		}
		if out.Key == "" {
			return oleandervalve.Committed{}, unknown(errors.New("table reported a conflict without a key"))
		}
		return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: out.Key, Expected: out.Expected, Current: out.Current}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return oleandervalve.Committed{}, unavailable(errors.Newf("status %d", status))
	case http.StatusBadRequest:
		return oleandervalve.Committed{}, &oleandervalve.InvalidError{Field: "transaction", Value: string(t.ID), Remedy: string(body)}
	}
	return oleandervalve.Committed{}, unknown(errors.Newf("status %d", status))
}

func (c *Client) read(ctx context.Context, path string, q, into any) error {
	status, body, err := c.post(ctx, path, q)
	if err != nil {
		return unavailable(err)
	}
	if status != http.StatusOK {
		return unavailable(errors.Newf("status %d", status))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return unavailable(err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, q any) (int, []byte, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	p, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	return p.StatusCode, body, err
}

// commitError tells a commit that never left from one whose answer was lost.
func commitError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return unavailable(err)
	}
	return unknown(err)
}

func unavailable(cause error) error {
	return &oleandervalve.UnavailableError{Service: serviceName, Remedy: remedyUnavailable, RetryAfter: retryWhenDown, Cause: cause}
}

func unknown(cause error) error {
	return &oleandervalve.UnknownOutcomeError{
		Operation: "table commit", Remedy: "read the rows back and compare the mutation id", Cause: cause,
	}
}
