package endpointhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/io/endpointhttp"
)

// rawServer responds to the n-th request, counted from 1, with the bytes that
// respond returns. It closes the connection after an empty response.
func rawServer(t *testing.T, respond func(n int64) string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					response := respond(requests.Add(1))
					_, _ = io.WriteString(c, response)
					if response == "" || q.Header.Get("Close") != "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func do(c *endpointhttp.Client, address, method string, h http.Header, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	p, err := c.Do(ctx, address, oleandervalve.EndpointRequest{
		ID: "r", Method: method, Path: "/", Header: h, Body: bytes.NewReader([]byte(body)), Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against the HTTP transport retrying a request by itself on a reused
// connection that the endpoint closes after it has read the request: the request
// may have run, and only the scheduler may decide to retry it.
func TestRequestIsSentOnce(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"1"}}
	cases := []struct {
		name, method, body string
		header             http.Header
	}{
		{"GET", http.MethodGet, "", nil},
		{"HEAD", http.MethodHead, "", nil},
		{"PUT", http.MethodPut, "", nil},
		{"POST with key and empty body", http.MethodPost, "", key},
		{"POST with key and body", http.MethodPost, "text", key},
		{"GET with X-Idempotency-Key", http.MethodGet, "", http.Header{"X-Idempotency-Key": {"1"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := rawServer(t, func(n int64) string {
				if n == 1 {
					return completeResponse
				}
				return ""
			})
			client := endpointhttp.NewClient(1)
			defer client.Close()
			got, err := do(client, address, http.MethodGet, nil, "")
			is.NoErr(err)
			is.Equal(got, "ok") // its idle connection is reused below
			_, err = do(client, address, c.method, c.header, c.body)
			var unknown *oleandervalve.UnknownOutcomeError
			is.True(errors.As(err, &unknown))
			is.Equal(requests.Load(), int64(2)) // each request was sent once
		})
	}
}

// Guards against a request that may have run being reported as not sent, and
// against an incomplete response being taken for a complete one.
func TestEndpointFaults(t *testing.T) {
	var unknown *oleandervalve.UnknownOutcomeError
	isUnknown := func(err error) bool { return errors.As(err, &unknown) }
	isTruncated := func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }
	cases := []struct {
		name, response string
		want           func(error) bool
	}{
		{"no response", "", isUnknown},
		{"malformed status line", "HTTP/1.1 what\r\n\r\n", isUnknown},
		{"malformed length", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", isUnknown},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", isUnknown},
		{"neither length nor end marker", "HTTP/1.1 200 OK\r\n\r\nok", isUnknown},
		{"body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", isTruncated},
		{"no final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", isTruncated},
		{"status 409 of the endpoint is no error", "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno", func(err error) bool { return err == nil }},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", func(err error) bool { return err == nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := rawServer(t, func(int64) string { return c.response })
			client := endpointhttp.NewClient(1)
			defer client.Close()
			_, err := do(client, address, http.MethodPost, http.Header{"Close": {"1"}}, "body")
			is.True(c.want(err)) // err
			is.Equal(requests.Load(), int64(1))
		})
	}
	t.Run("down", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		_ = l.Close()
		_, err = do(endpointhttp.NewClient(1), l.Addr().String(), http.MethodPost, nil, "")
		var notSent *oleandervalve.NotSentError
		is.New(t).True(errors.As(err, &notSent))
	})
	t.Run("slow", func(t *testing.T) {
		release := make(chan struct{})
		address, _ := rawServer(t, func(int64) string { <-release; return completeResponse })
		defer close(release)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		client := endpointhttp.NewClient(1)
		_, err := client.Do(ctx, address, oleandervalve.EndpointRequest{Method: http.MethodGet, Path: "/"}) //nolint:bodyclose // no response arrives
		is.New(t).True(isUnknown(err) && errors.Is(err, context.DeadlineExceeded))
	})
}
