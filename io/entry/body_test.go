package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
)

// Guards against endpoints that are taken for failing because clients don't send the whole bodies
// of their calls.
func TestCutBodiesDoNotEjectEndpoints(t *testing.T) {
	is := is.New(t)
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetOutput(io.Discard)
	e := New("entry-0", WithLog(log))
	t.Cleanup(e.Close)
	peers, err := standin.Serve("127.0.0.1:0", e.PeerHandler())
	is.NoErr(err)
	t.Cleanup(peers.Close)
	a := agent.New("agent-0", []string{peers.URL + peer.Path}, agent.WithLog(log))
	t.Cleanup(a.Close)
	announcements, err := standin.Serve("127.0.0.1:0", a.AnnounceHandler())
	is.NoErr(err)
	t.Cleanup(announcements.Close)
	const endpoints = 3
	for n := range endpoints {
		x, err := standin.StartEndpoint(standin.EndpointConfig{
			Announcement: oleandervalve.Announcement{Endpoint: oleandervalve.EndpointID("x-" + strconv.Itoa(n)), Service: "formaro", Slots: 2, Connections: 8},
			AgentURL:     announcements.URL, ServiceTime: time.Millisecond, Seed: 1, AnnounceInterval: 50 * time.Millisecond,
		})
		is.NoErr(err)
		t.Cleanup(x.Close)
	}
	whole := callerhttp.Call{Service: "formaro", Timeout: time.Minute, Method: http.MethodPost, Path: "/x", Inline: []byte("{}")}
	for e.Slots("formaro") < 2*endpoints {
		time.Sleep(time.Millisecond)
	}
	cut := whole
	cut.Inline = make([]byte, callerhttp.MaxInlineBody+1)
	for range 30 {
		cut.Rest = iotest.ErrReader(io.ErrUnexpectedEOF)
		err := e.Dispatch(context.Background(), cut, httptest.NewRecorder())
		var unknown *oleandervalve.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
	}
	e.mu.Lock()
	ejected := e.directory.Ejected("formaro")
	e.mu.Unlock()
	is.Equal(len(ejected), 0)
	is.NoErr(e.Dispatch(context.Background(), whole, httptest.NewRecorder()))
}
