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

// Conn is a connection between an entry and an agent or between two entries.
//
// Queued messages are combined into one frame, which saves a system call per
// message under load.
type Conn struct {
	socket       *websocket.Conn
	queue        chan Message
	closed       chan struct{}
	closeOnce    sync.Once
	shuttingDown chan struct{}
	shutdownOnce sync.Once
	writerDone   chan struct{}
	pending      []Message
	received     atomic.Int64
	sent         atomic.Int64
	// meter counts messages by type; nil means that they are not counted.
	meter *Meter
}

// NewConn wraps a WebSocket connection and starts the goroutine that writes to it.
func NewConn(s *websocket.Conn) *Conn { return newConn(s, nil) }

func newConn(s *websocket.Conn, m *Meter) *Conn {
	s.SetReadLimit(MaxFrame)
	c := &Conn{meter: m, socket: s, queue: make(chan Message, sendQueueSize), closed: make(chan struct{}), shuttingDown: make(chan struct{}), writerDone: make(chan struct{})}
	go c.writeLoop()
	return c
}

// Send queues a message. It blocks while the queue is full, and fails after
// Close or Shutdown.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.closed:
		return ErrClosed
	case <-c.shuttingDown:
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

// TrySend queues a message unless the queue is full or the connection closed,
// and reports whether it did.
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

// Receive returns the next message; a *FrameError means that the peer sent a
// malformed frame.
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
		if c.pending, err = decodeFrame(frame, c.meter); err != nil {
			return nil, err
		}
	}
	m := c.pending[0]
	c.pending = c.pending[1:]
	return m, nil
}

// Close closes the connection at once; queued messages may be lost.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.CloseNow()
	})
}

// Shutdown sends the queued messages and closes the connection with a closing
// handshake, so that the peer reads everything that was sent; later sends fail.
func (c *Conn) Shutdown() {
	c.shutdownOnce.Do(func() { close(c.shuttingDown) })
	<-c.writerDone
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Traffic returns the total size in bytes of the frames received and sent.
func (c *Conn) Traffic() (received, sent int64) { return c.received.Load(), c.sent.Load() }

// writeLoop writes queued messages until the connection closes.
func (c *Conn) writeLoop() {
	defer close(c.writerDone)
	var frame, message bytes.Buffer
	for {
		m := c.nextMessage()
		if m == nil {
			return
		}
		frame.Reset()
		if err := appendMessage(&frame, m); err != nil {
			c.Close()
			return
		}
		c.meter.add(directionSent, m.Type(), frame.Len())
		for c.appendQueued(&frame, &message) {
			if !c.writeFrame(&frame) {
				return
			}
			frame.Reset()
			frame.Write(message.Bytes())
		}
		if !c.writeFrame(&frame) {
			return
		}
	}
}

// nextMessage waits for the next message to write. It returns nil if the
// connection is closed, or if Shutdown has sent everything and closed it.
func (c *Conn) nextMessage() Message {
	select {
	case m := <-c.queue:
		return m
	case <-c.closed:
		return nil
	case <-c.shuttingDown:
	}
	select {
	case m := <-c.queue:
		return m
	default:
	}
	// Closing a socket that has unread input resets the connection, which could
	// discard responses that the peer has not read yet. The closing handshake
	// prevents that.
	_ = c.socket.Close(websocket.StatusNormalClosure, "planned stop")
	c.Close()
	return nil
}

// appendQueued appends queued messages to the frame. It returns true if a
// message no longer fits; the encoded message is then in the second buffer.
func (c *Conn) appendQueued(frame, message *bytes.Buffer) bool {
	for {
		select {
		case m := <-c.queue:
			message.Reset()
			if err := appendMessage(message, m); err != nil {
				c.Close()
				return false
			}
			c.meter.add(directionSent, m.Type(), message.Len())
			if frame.Len()+message.Len() > MaxFrame {
				return true
			}
			frame.Write(message.Bytes())
		default:
			return false
		}
	}
}

func (c *Conn) writeFrame(frame *bytes.Buffer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.socket.Write(ctx, websocket.MessageBinary, frame.Bytes()); err != nil {
		c.Close()
		return false
	}
	c.sent.Add(int64(frame.Len()))
	return true
}
