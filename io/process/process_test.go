package process

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
)

func get(t *testing.T, url string) (int, string, bool) {
	t.Helper()
	response, err := http.Get(url)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(b), response.Close
}

// Guards against a process that reports ready while it waits for a peer or is
// stopping, and against a planned stop that cuts off a request in flight.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	p := New("x", "error", io.Discard)
	requestStarted, release := make(chan struct{}), make(chan struct{})
	callersAddr, err := p.Listen("callers", "127.0.0.1:0", 0, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(requestStarted)
		<-release
		_, _ = io.WriteString(w, "whole answer")
	}))
	is.NoErr(err)
	notReadyReason := "a peer"
	healthAddr, err := p.Listen("metrics", "127.0.0.1:0", 0, p.HealthHandler(func() string { return notReadyReason }))
	is.NoErr(err)
	status, body, _ := get(t, "http://"+healthAddr+"/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "a peer"))
	notReadyReason = ""
	status, _, _ = get(t, "http://"+healthAddr+"/readyz")
	is.Equal(status, http.StatusOK)

	response := make(chan string, 1)
	go func() {
		_, b, _ := get(t, "http://"+callersAddr)
		response <- b
	}()
	<-requestStarted
	signals, done, draining := make(chan struct{}, 2), make(chan error, 1), make(chan struct{})
	go func() {
		done <- p.Run(signals, StopOptions{Timeout: time.Minute, Drain: func(context.Context) bool {
			close(draining)
			<-release
			return true
		}})
	}()
	signals <- struct{}{}
	<-draining
	status, body, closed := get(t, "http://"+healthAddr+"/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "stopping"))
	is.True(closed) // clients reconnect to another process
	status, _, _ = get(t, "http://"+healthAddr+"/healthz")
	is.Equal(status, http.StatusOK) // healthy until it has stopped
	close(release)
	is.Equal(<-response, "whole answer")
	is.NoErr(<-done)
}

// Guards against a stop that hangs on work that does not complete, or that
// reports success although it cut off requests.
func TestStopThatCutsRequests(t *testing.T) {
	drainUntilDone := func(ctx context.Context) bool { <-ctx.Done(); return false }
	is := is.New(t)
	signals := make(chan struct{}, 2)
	signals <- struct{}{}
	err := New("x", "error", io.Discard).Run(signals, StopOptions{Timeout: time.Millisecond, Drain: drainUntilDone})
	var unknownOutcome *oleandervalve.UnknownOutcomeError
	is.True(errors.As(err, &unknownOutcome))

	signals <- struct{}{}
	signals <- struct{}{}
	err = New("x", "error", io.Discard).Run(signals, StopOptions{Timeout: time.Hour, Drain: drainUntilDone})
	is.True(errors.Is(err, ErrForcedStop))
}

// Guards against metrics that are lost, mixed up between labels or malformed.
func TestMetricsText(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	scope, closer := r.NewScope()
	scope.Tagged(map[string]string{"reason": "queueFull"}).Counter("refusals").Inc(2)
	scope.Tagged(map[string]string{"reason": "a \"quoted\" one"}).Counter("refusals").Inc(1)
	scope.Gauge("agents_connected").Update(3)
	scope.Timer("request_seconds").Record(1500 * time.Millisecond)
	is.NoErr(closer.Close())
	var b bytes.Buffer
	is.NoErr(r.Write(&b))
	is.Equal(b.String(), `# TYPE oleandervalve_agents_connected gauge
oleandervalve_agents_connected 3
# TYPE oleandervalve_refusals counter
oleandervalve_refusals{reason="a \"quoted\" one"} 1
oleandervalve_refusals{reason="queueFull"} 2
# TYPE oleandervalve_request_seconds summary
oleandervalve_request_seconds_sum 1.5
oleandervalve_request_seconds_count 1
`)
}
