package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

const handshakeTimeout = 5 * time.Second

// Path is the URL path on which an entry accepts agents.
const Path = "/v1/peer"

// RejectedError reports a connection that the entry rejected.
type RejectedError struct {
	Reject Reject
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("peer refused the connection (%s): %s", e.Reject.Reason, e.Reject.Remedy)
}

// Dial connects an agent to the entry at the given URL, and sends a Hello and
// receives the Welcome.
func Dial(ctx context.Context, url string, client *http.Client, h Hello) (*Conn, Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // the library closes the body of a successful upgrade
	if err != nil {
		return nil, Welcome{}, err
	}
	c := NewConn(s)
	h.Version = ProtocolVersion
	if err := c.Send(&h); err != nil {
		c.Close()
		return nil, Welcome{}, err
	}
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, Welcome{}, err
	}
	switch m := m.(type) {
	case *Welcome:
		return c, *m, nil
	case *Reject:
		c.Close()
		return nil, Welcome{}, &RejectedError{Reject: *m}
	default:
		c.Close()
		return nil, Welcome{}, &FrameError{Detail: "welcome expected, got " + string(m.Type())}
	}
}

// Accept upgrades an agent's HTTP request and receives its Hello; the caller
// then sends a Welcome or a Reject.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, Hello, error) {
	s, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, Hello{}, err
	}
	c := NewConn(s)
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, Hello{}, err
	}
	h, ok := m.(*Hello)
	if !ok {
		c.Close()
		return nil, Hello{}, &FrameError{Detail: "hello expected, got " + string(m.Type())}
	}
	if h.Version != ProtocolVersion {
		reject := Reject{
			Reason: "protocolVersion",
			Remedy: fmt.Sprintf("the entry speaks version %d and the agent version %d: run the same release on both", ProtocolVersion, h.Version),
		}
		_ = c.Send(&reject)
		c.CloseAfterDelay()
		return nil, Hello{}, &RejectedError{Reject: reject}
	}
	return c, *h, nil
}

// CloseAfterDelay closes the connection after a second, in which the queued
// messages can be written.
func (c *Conn) CloseAfterDelay() {
	time.AfterFunc(time.Second, c.Close)
}
