package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue for log lines that a slow
// destination has not taken yet.
const maxQueuedLines = 4096

// LogWriter writes log lines in the background. If the queue is full, lines are
// dropped and counted, so that logging never blocks the process.
type LogWriter struct {
	// mu is held for reading while a line is queued, and for writing while lines is closed.
	mu      sync.RWMutex
	closed  bool
	lines   chan []byte
	dropped atomic.Int64
	dest    io.Writer
	done    chan struct{}
}

// NewLogWriter returns a LogWriter that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), dest: w, done: make(chan struct{})}
	go l.run()
	return l
}

// Write queues a copy of one line, or drops the line if the queue is full or closed. It
// never fails.
func (l *LogWriter) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return len(b), nil
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Close writes the queued lines and stops the background writer.
func (l *LogWriter) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	<-l.done
}

func (l *LogWriter) run() {
	defer close(l.done)
	for line := range l.lines {
		if n := l.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(l.dest, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"count\":%d}\n", n)
		}
		_, _ = l.dest.Write(line) // a failed write of the log can't be logged
	}
}
