package peer

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

// InitialWindow is the number of body bytes that a sender may send before the
// receiver grants more.
const InitialWindow = 256 << 10

// ErrBodyTruncated reports a body whose end marker is missing or has a length
// that differs from the bytes received.
var ErrBodyTruncated = errors.New("body was cut off before its end: treat the answer as incomplete")

// BodyReader is an io.Reader of a body that arrives in chunks.
type BodyReader struct {
	mu                 sync.Mutex
	changed            *sync.Cond
	chunks             [][]byte
	buffered           int64
	received           int64
	consumedSinceGrant int64
	ended              bool
	err                error
	grant              func(int64)
}

// NewBodyReader returns an empty reader. It calls grant with the number of
// additional bytes that the sender may send.
func NewBodyReader(grant func(int64)) *BodyReader {
	b := &BodyReader{grant: grant}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Push adds a chunk; the body fails if the chunk exceeds the granted window.
func (b *BodyReader) Push(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.err != nil {
		return
	}
	if b.buffered+int64(len(data)) > InitialWindow {
		b.fail(&FrameError{Detail: "body exceeds the granted window"})
		return
	}
	b.chunks = append(b.chunks, data)
	b.buffered += int64(len(data))
	b.received += int64(len(data))
	b.changed.Signal()
}

// Finish marks the end of the body. The body is truncated if the length differs
// from the bytes received or the sender failed.
func (b *BodyReader) Finish(length int64, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed || length != b.received {
		b.fail(ErrBodyTruncated)
		return
	}
	b.ended = true
	b.changed.Broadcast()
}

// Fail ends the body with an error, unless it has already ended.
func (b *BodyReader) Fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(err)
}

func (b *BodyReader) fail(err error) {
	if b.err == nil && !b.ended {
		b.err = err
	}
	b.changed.Broadcast()
}

// Read returns body bytes, then io.EOF if the body is complete, else its error.
func (b *BodyReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	for len(b.chunks) == 0 && !b.ended && b.err == nil {
		b.changed.Wait()
	}
	if len(b.chunks) == 0 {
		err := b.err
		b.mu.Unlock()
		if err == nil {
			err = io.EOF
		}
		return 0, err
	}
	n := copy(p, b.chunks[0])
	if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
		b.chunks = b.chunks[1:]
	}
	b.buffered -= int64(n)
	b.consumedSinceGrant += int64(n)
	var grant int64
	// Granting a quarter of the window at a time keeps the sender busy with
	// few messages.
	if b.consumedSinceGrant >= InitialWindow/4 && !b.ended {
		grant, b.consumedSinceGrant = b.consumedSinceGrant, 0
	}
	b.mu.Unlock()
	if grant > 0 {
		b.grant(grant)
	}
	return n, nil
}

// BodyWriter sends a body in chunks within the window granted by the receiver.
type BodyWriter struct {
	conn    *Conn
	id      oleandervalve.RequestID
	mu      sync.Mutex
	changed *sync.Cond
	window  int64
	err     error
}

// NewBodyWriter returns a writer for the body of a request or a response.
func NewBodyWriter(c *Conn, id oleandervalve.RequestID) *BodyWriter {
	w := &BodyWriter{conn: c, id: id, window: InitialWindow}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// Grant extends the window by n bytes.
func (w *BodyWriter) Grant(n int64) {
	w.mu.Lock()
	w.window += n
	w.mu.Unlock()
	w.changed.Signal()
}

// Abort makes the current and later calls of Copy return the error.
func (w *BodyWriter) Abort(err error) {
	w.mu.Lock()
	if w.err == nil {
		w.err = err
	}
	w.mu.Unlock()
	w.changed.Broadcast()
}

// Copy sends the prefix and then everything read from r, followed by the end
// marker; it returns the number of bytes sent.
func (w *BodyWriter) Copy(prefix []byte, r io.Reader) (int64, error) {
	var total int64
	for len(prefix) > 0 {
		n := min(len(prefix), MaxChunk)
		if err := w.sendChunk(prefix[:n]); err != nil {
			return total, err
		}
		total += int64(n)
		prefix = prefix[n:]
	}
	for {
		buffer := make([]byte, MaxChunk)
		n, err := r.Read(buffer)
		if n > 0 {
			if err := w.sendChunk(buffer[:n]); err != nil {
				return total, err
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return total, w.conn.Send(&End{ID: w.id, Length: total})
		}
		if err != nil {
			_ = w.conn.Send(&End{ID: w.id, Length: total, Failed: true})
			return total, err
		}
	}
}

func (w *BodyWriter) sendChunk(data []byte) error {
	w.mu.Lock()
	for w.window < int64(len(data)) && w.err == nil {
		w.changed.Wait()
	}
	w.window -= int64(len(data))
	err := w.err
	w.mu.Unlock()
	if err != nil {
		return err
	}
	return w.conn.Send(&Body{ID: w.id, Data: data})
}
