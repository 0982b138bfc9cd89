package callerhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// recordingDispatcher records the calls that are run.
type recordingDispatcher struct{ calls chan Call }

func (d recordingDispatcher) Dispatch(_ context.Context, c Call, w http.ResponseWriter) error {
	d.calls <- c
	w.WriteHeader(http.StatusOK)
	return nil
}

// Guards against a call that runs with a part of its body because its client disconnects before
// the end of it.
func TestCutBodyIsNotRun(t *testing.T) {
	for name, text := range map[string]string{
		"length": "POST /call/formaro/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345",
		"chunks": "POST /call/formaro/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := recordingDispatcher{make(chan Call, 1)}
			server := httptest.NewServer(Handler(d, TrustedHeaders{}))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, text)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, c) // the connection is closed once the call has ended
			is.Equal(len(d.calls), 0)
		})
	}
}
