package process

import (
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that panics at the end of a planned stop because a goroutine still logs.
func TestLogLineAfterCloseIsDropped(t *testing.T) {
	is := is.New(t)
	l := NewLogWriter(io.Discard)
	l.Close()
	defer func() { is.Equal(recover(), nil) }()
	n, err := l.Write([]byte("line\n"))
	is.NoErr(err)
	is.Equal(n, 5)
}
