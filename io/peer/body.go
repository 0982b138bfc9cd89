package peer

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"oleandervalve"
)

// InitialWindow is how many body bytes a sender may send before the receiver grants more.
const InitialWindow = 256 << 10

// ErrBodyCut reports a body whose end marker is missing or disagrees with its length.
var ErrBodyCut = errors.New("body was cut off before its end: treat the answer as incomplete")

// BodyReader collects the chunks of a body and hands them to a reader.
type BodyReader struct {
	mu       sync.Mutex
	changed  *sync.Cond
	chunks   [][]byte
	buffered int64
	received int64
	consumed int64
	ended    bool
	err      error
	grant    func(int64)
}

// NewBodyReader returns an empty reader; grant is called with bytes that the sender may send anew.
func NewBodyReader(grant func(int64)) *BodyReader {
	b := &BodyReader{grant: grant}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Push adds a chunk; a sender that overruns its window fails the body.
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

// Finish marks the end; a wrong length or a failed sender makes the body cut.
func (b *BodyReader) Finish(length int64, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed || length != b.received {
		b.fail(ErrBodyCut)
		return
	}
	b.ended = true
	b.changed.Broadcast()
}

// Fail ends the body with an error.
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

// Read returns body bytes, io.EOF after a whole body, or the error that cut it.
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
	b.consumed += int64(n)
	var grant int64
	// Granting in quarters of the window keeps the sender busy at few messages.
	if b.consumed >= InitialWindow/4 && !b.ended {
		grant, b.consumed = b.consumed, 0
	}
	b.mu.Unlock()
	if grant > 0 {
		b.grant(grant)
	}
	return n, nil
}

// BodyWriter sends a body in chunks within the window that the receiver grants.
type BodyWriter struct {
	conn    *Conn
	id      oleandervalve.RequestID
	mu      sync.Mutex
	changed *sync.Cond
	window  int64
	err     error
}

// NewBodyWriter returns a writer for the body of one request or response.
func NewBodyWriter(c *Conn, id oleandervalve.RequestID) *BodyWriter {
	w := &BodyWriter{conn: c, id: id, window: InitialWindow}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// Grant permits more bytes.
func (w *BodyWriter) Grant(n int64) {
	w.mu.Lock()
	w.window += n
	w.mu.Unlock()
	w.changed.Signal()
}

// Abort makes Copy return the error.
func (w *BodyWriter) Abort(err error) {
	w.mu.Lock()
	if w.err == nil {
		w.err = err
	}
	w.mu.Unlock()
	w.changed.Broadcast()
}

// Copy sends the first bytes and then everything read from r, followed by the
// end marker; it returns the number of bytes sent.
func (w *BodyWriter) Copy(first []byte, r io.Reader) (int64, error) {
	var total int64
	for len(first) > 0 {
		n := min(len(first), MaxChunk)
		if err := w.chunk(first[:n]); err != nil {
			return total, err
		}
		total += int64(n)
		first = first[n:]
	}
	for {
		buffer := make([]byte, MaxChunk)
		n, err := r.Read(buffer)
		if n > 0 {
			if err := w.chunk(buffer[:n]); err != nil {
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

func (w *BodyWriter) chunk(data []byte) error {
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
