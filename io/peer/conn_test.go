package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a shutdown that loses messages which are queued or which the
// peer has not read yet: a socket closed with unread input is reset.
func TestShutdownDeliversEverythingSent(t *testing.T) {
	is := is.New(t)
	const messages = 500
	body := strings.Repeat("x", 4<<10)
	stopped := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(stopped)
		c, _, err := Accept(w, r)
		if err != nil {
			return
		}
		_ = c.Send(&Welcome{Version: ProtocolVersion, Entry: "e"})
		for range messages {
			_ = c.Send(&Body{ID: "r", Data: []byte(body)})
		}
		c.Shutdown()
		if c.Send(&Body{ID: "r"}) == nil {
			t.Error("send after Shutdown succeeded")
		}
	}))
	defer server.Close()
	c, _, err := Dial(context.Background(), server.URL, http.DefaultClient, Hello{Agent: "a"})
	is.NoErr(err)
	defer c.Close()
	for range 100 {
		is.NoErr(c.Send(&Demand{})) // input that the server never reads
	}
	received := 0
	for {
		m, err := c.Receive(context.Background())
		if err != nil {
			break
		}
		if b, ok := m.(*Body); ok && len(b.Data) == len(body) {
			received++
		}
	}
	is.Equal(received, messages)
	<-stopped
}
