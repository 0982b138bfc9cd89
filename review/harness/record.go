package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	// interrupted is done when the harness has to end.
	interrupted context.Context
}

func newRecord(ctx context.Context, path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now(), interrupted: ctx}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.started) }

// add writes one line, with the time since the start of the record.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

// close writes what is buffered and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	r.file.Close()
}
