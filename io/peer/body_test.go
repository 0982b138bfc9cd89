package peer

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a truncated body that is read as a complete one.
func TestBodyReaderDetectsTruncatedBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []string
		end    func(*BodyReader)
		whole  bool
	}{
		{"whole", []string{"ab", "c"}, func(b *BodyReader) { b.Finish(3, false) }, true},
		{"empty", nil, func(b *BodyReader) { b.Finish(0, false) }, true},
		{"chunk missing", []string{"ab"}, func(b *BodyReader) { b.Finish(3, false) }, false},
		{"chunk duplicated", []string{"ab", "ab"}, func(b *BodyReader) { b.Finish(2, false) }, false},
		{"sender failed", []string{"ab"}, func(b *BodyReader) { b.Finish(2, true) }, false},
		{"disconnected", []string{"ab"}, func(b *BodyReader) { b.Fail(ErrBodyTruncated) }, false},
		{"window overrun", []string{strings.Repeat("x", InitialWindow), "y"}, func(b *BodyReader) { b.Finish(InitialWindow+1, false) }, false},
		{"failure after the end", []string{"a"}, func(b *BodyReader) { b.Finish(1, false); b.Fail(ErrClosed) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBodyReader(func(int64) {})
			for _, x := range c.chunks {
				b.Push([]byte(x))
			}
			c.end(b)
			got, err := io.ReadAll(b)
			is.Equal(err == nil, c.whole)
			if c.whole {
				is.Equal(string(got), strings.Join(c.chunks, ""))
			}
		})
	}
}

// Guards against a sender that fills the receiver's memory while the body is not read.
func TestBodyWriterWaitsForWindow(t *testing.T) {
	is := is.New(t)
	c := &Conn{queue: make(chan Message, 64), closed: make(chan struct{})}
	w := NewBodyWriter(c, "r")
	done := make(chan error, 1)
	go func() {
		_, err := w.Copy(nil, strings.NewReader(strings.Repeat("x", InitialWindow+MaxChunk)))
		done <- err
	}()
	for range InitialWindow / MaxChunk {
		_, ok := (<-c.queue).(*Body)
		is.True(ok)
	}
	w.Abort(ErrClosed)
	is.True(errors.Is(<-done, ErrClosed))
	is.Equal(len(c.queue), 0) // nothing was sent beyond the window
}
