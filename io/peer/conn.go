package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coder/websocket"
)

// ErrClosed reports a send on a closed connection.
var ErrClosed = errors.New("connection to the peer is closed: wait for the next connection")

const (
	writeTimeout  = 10 * time.Second
	sendQueueSize = 1024
)

// Conn is one connection between an entry and an agent.
//
// Messages that wait together are written as one frame, which saves a system
// call per message under load.
type Conn struct {
	socket    *websocket.Conn
	queue     chan Message
	closed    chan struct{}
	closeOnce sync.Once
	finishing chan struct{}
	finished  sync.Once
	written   chan struct{}
	pending   []Message
	received  atomic.Int64
	sent      atomic.Int64
}

// NewConn wraps a WebSocket connection and starts its writer.
func NewConn(s *websocket.Conn) *Conn {
	s.SetReadLimit(MaxFrame)
	c := &Conn{socket: s, queue: make(chan Message, sendQueueSize), closed: make(chan struct{}), finishing: make(chan struct{}), written: make(chan struct{})}
	go c.write()
	return c
}

// Send queues a message; it blocks while the queue is full and fails after Close.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.closed:
		return ErrClosed
	case <-c.finishing:
		return ErrClosed
	default:
	}
	select {
	case c.queue <- m:
		return nil
	case <-c.closed:
		return ErrClosed
	}
}

// TrySend queues a message if there is room and reports whether it did.
func (c *Conn) TrySend(m Message) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- m:
		return true
	default:
		return false
	}
}

// Receive returns the next message; a *FrameError means that the peer sent garbage.
func (c *Conn) Receive(ctx context.Context) (Message, error) {
	for len(c.pending) == 0 {
		kind, frame, err := c.socket.Read(ctx)
		if err != nil {
			return nil, err
		}
		c.received.Add(int64(len(frame)))
		if kind != websocket.MessageBinary {
			return nil, &FrameError{Detail: "text frame"}
		}
		if c.pending, err = DecodeFrame(frame); err != nil {
			return nil, err
		}
	}
	m := c.pending[0]
	c.pending = c.pending[1:]
	return m, nil
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.CloseNow()
	})
}

// Shutdown sends what is queued and closes the connection with a handshake, so
// that the peer reads everything that was sent; later sends fail.
func (c *Conn) Shutdown() {
	c.finished.Do(func() { close(c.finishing) })
	<-c.written
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Traffic returns the bytes received and sent in frames.
func (c *Conn) Traffic() (received, sent int64) { return c.received.Load(), c.sent.Load() }

func (c *Conn) write() {
	defer close(c.written)
	var frame, one bytes.Buffer
	for {
		m := c.next()
		if m == nil {
			return
		}
		frame.Reset()
		if err := appendMessage(&frame, m); err != nil {
			c.Close()
			return
		}
		for c.fill(&frame, &one) {
			if !c.flush(&frame) {
				return
			}
			frame.Reset()
			frame.Write(one.Bytes())
		}
		if !c.flush(&frame) {
			return
		}
	}
}

// next returns the next message to write, or nil after the connection closed.
func (c *Conn) next() Message {
	select {
	case m := <-c.queue:
		return m
	case <-c.closed:
		return nil
	case <-c.finishing:
	}
	select {
	case m := <-c.queue:
		return m
	default:
	}
	// Closing the socket with unread input would reset it and could discard
	// answers that the peer has not read yet; the handshake prevents that.
	_ = c.socket.Close(websocket.StatusNormalClosure, "planned stop")
	c.Close()
	return nil
}

// fill adds waiting messages to the frame. It returns true with the next
// message in one if that message no longer fits.
func (c *Conn) fill(frame, one *bytes.Buffer) bool {
	for {
		select {
		case m := <-c.queue:
			one.Reset()
			if err := appendMessage(one, m); err != nil {
				c.Close()
				return false
			}
			if frame.Len()+one.Len() > MaxFrame {
				return true
			}
			frame.Write(one.Bytes())
		default:
			return false
		}
	}
}

func (c *Conn) flush(frame *bytes.Buffer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.socket.Write(ctx, websocket.MessageBinary, frame.Bytes()); err != nil {
		c.Close()
		return false
	}
	c.sent.Add(int64(frame.Len()))
	return true
}
