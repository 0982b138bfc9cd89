package operatorhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	maxClientAttempts = 4
	baseClientBackoff = 200 * time.Millisecond
	maxResponseBytes  = 64 << 20
	maxLineBytes      = 1 << 20
)

// Client calls the administration API of an entry.
type Client struct {
	base  string
	token string
	http  *http.Client
	clock oleandervalve.Clock
}

// NewClient returns a client of the API at a base URL such as
// https://127.0.0.1:8443. Errors are of type *oleandervalve.InvalidError.
func NewClient(base, token string, h *http.Client, c oleandervalve.Clock) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &oleandervalve.InvalidError{Field: "server", Value: base, Remedy: "use a URL such as https://127.0.0.1:8443"}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: h, clock: c}, nil
}

// Put creates or replaces an object.
func (c *Client) Put(ctx context.Context, o operator.Object, id operator.ChangeID, expected oleandervalve.Version, dryRun bool) (ChangeResult, error) {
	b := PutBody{ChangeID: id, ExpectedVersion: &expected, Labels: o.Labels, Spec: o.Spec}
	return c.change(ctx, http.MethodPut, objectPath(o.Ref()), addDryRun(url.Values{}, dryRun), b, id)
}

// Label changes labels of an object; a nil value removes the label.
func (c *Client) Label(ctx context.Context, r operator.Ref, labels map[string]*string, id operator.ChangeID, dryRun bool) (ChangeResult, error) {
	b := LabelBody{ChangeID: id, Labels: labels}
	return c.change(ctx, http.MethodPatch, objectPath(r)+"/labels", addDryRun(url.Values{}, dryRun), b, id)
}

// Delete deletes an object if it is at the expected version.
func (c *Client) Delete(ctx context.Context, r operator.Ref, id operator.ChangeID, expected oleandervalve.Version, dryRun bool) (ChangeResult, error) {
	q := url.Values{"changeId": {string(id)}, "expectedVersion": {strconv.FormatUint(uint64(expected), 10)}}
	return c.change(ctx, http.MethodDelete, objectPath(r), addDryRun(q, dryRun), nil, id)
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, r operator.Ref) (operator.Object, error) {
	var o operator.Object
	return o, c.do(ctx, http.MethodGet, objectPath(r), nil, nil, &o)
}

// List returns the objects of a kind, or of all kinds if the kind is empty.
func (c *Client) List(ctx context.Context, k operator.Kind) (ObjectList, error) {
	var l ObjectList
	return l, c.do(ctx, http.MethodGet, "/v1/objects", url.Values{"kind": {string(k)}}, nil, &l)
}

// Status returns the state of the rollout of the configuration.
func (c *Client) Status(ctx context.Context) (EntryStatus, error) {
	var s EntryStatus
	return s, c.do(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
}

// Explain requests an explanation of a decision.
func (c *Client) Explain(ctx context.Context, q ExplainRequest) (operator.Explanation, error) {
	path := "/v1/explain/" + url.PathEscape(q.Subject) + "/" + escapePath(q.Name)
	if q.Detail != "" {
		path += "/" + url.PathEscape(q.Detail)
	}
	var e operator.Explanation
	return e, c.do(ctx, http.MethodGet, path, nil, nil, &e)
}

// Drain begins the planned stop of an instance.
func (c *Client) Drain(ctx context.Context, instance, reason string, within time.Duration) (Progress, error) {
	var p Progress
	b := DrainBody{Reason: reason, WithinSeconds: int(within / time.Second)}
	return p, c.do(ctx, http.MethodPost, "/v1/drain/"+url.PathEscape(instance), nil, b, &p)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, j oleandervalve.JobID) (Progress, error) {
	var p Progress
	return p, c.do(ctx, http.MethodPost, "/v1/cancel/"+url.PathEscape(string(j)), nil, nil, &p)
}

// Audit passes the matching records to visit until it returns an error.
func (c *Client) Audit(ctx context.Context, f operator.AuditFilter, limit int, visit func(operator.Record) error) error {
	q := url.Values{"actor": {f.Actor}, "kind": {string(f.Kind)}, "name": {f.Name}, "result": {string(f.Result)}}
	for k, t := range map[string]time.Time{"from": f.From, "to": f.To} {
		if !t.IsZero() {
			q.Set(k, t.Format(time.RFC3339))
		}
	}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	res, err := c.send(ctx, http.MethodGet, "/v1/audit", q, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	s := bufio.NewScanner(res.Body)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		var line struct {
			operator.Record
			Error *APIError `json:"error"`
		}
		if err := json.Unmarshal(s.Bytes(), &line); err != nil {
			return errors.Wrap(err, "audit trail has a malformed line: check that client and entry run the same release")
		}
		if line.Error != nil {
			return line.Error
		}
		if err := visit(line.Record); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return &oleandervalve.UnavailableError{Service: "entry", Remedy: "the audit trail was cut; run the command again", Cause: s.Err()}
	}
	return nil
}

// change sends a change and retries until its outcome is known or the attempts
// are used up. The change id makes retries idempotent.
func (c *Client) change(ctx context.Context, method, path string, q url.Values, body any, id operator.ChangeID) (ChangeResult, error) {
	var out ChangeResult
	var err error
	mayBeApplied := false
	for i := range maxClientAttempts {
		if i > 0 {
			select {
			case <-ctx.Done():
			case <-c.clock.After(baseClientBackoff << i):
			}
		}
		err = c.do(ctx, method, path, q, body, &out)
		var apiErr *APIError
		switch {
		case err == nil:
			return out, nil
		case errors.As(err, &apiErr) && apiErr.Status < 500:
			return ChangeResult{}, err
		case !errors.As(err, &apiErr) || apiErr.Reason == ReasonUnknownOutcome:
			mayBeApplied = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayBeApplied {
		return ChangeResult{}, &oleandervalve.UnknownOutcomeError{
			Operation: "change " + strconv.Quote(string(id)),
			Remedy:    "run the command again with --change-id " + string(id) + "; the change is applied at most once",
			Cause:     err,
		}
	}
	return ChangeResult{}, err
}

func (c *Client) do(ctx context.Context, method, path string, q url.Values, body, dst any) error {
	res, err := c.send(ctx, method, path, q, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(dst); err != nil {
		return errors.Wrap(err, "answer of the entry is cut or malformed")
	}
	return nil
}

// send sends a request and returns the response if its status is 2xx. Otherwise
// the error is *APIError, or *oleandervalve.UnavailableError without a response.
func (c *Client) send(ctx context.Context, method, path string, q url.Values, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(b)
	}
	u := c.base + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, content)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &oleandervalve.UnavailableError{
			Service: "entry at " + c.base, Remedy: "check the address, the certificates and that an entry runs there", Cause: err,
		}
	}
	if res.StatusCode < 300 {
		return res, nil
	}
	defer res.Body.Close()
	e := &APIError{}
	if json.NewDecoder(io.LimitReader(res.Body, maxLineBytes)).Decode(e) != nil || e.Reason == "" {
		e = &APIError{Reason: "unexpectedAnswer", Message: "the server answered " + res.Status, Remedy: "check that the address is that of an entry"}
	}
	e.Status = res.StatusCode
	return nil, e
}

func addDryRun(q url.Values, dryRun bool) url.Values {
	if dryRun {
		q.Set("dryRun", "true")
	}
	return q
}

func objectPath(r operator.Ref) string {
	return "/v1/objects/" + url.PathEscape(string(r.Kind)) + "/" + url.PathEscape(r.Name)
}

// escapePath escapes a name except for slashes, which task ids contain.
func escapePath(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), "%2F", "/")
}
