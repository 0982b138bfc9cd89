package paging

import "time"

const (
	// initialRows is the size of the first page.
	initialRows = 64
	// growth is by how much pages grow while reads are short, and shrink after a failed one.
	growth = 4
)

// Limits bound the pages of a scan.
type Limits struct {
	// MaxRows is the size of the largest page.
	MaxRows int
	// Timeout is the timeout of a read.
	Timeout time.Duration
}

// Size is the size of the pages of a scan, which follows the time that reads take.
type Size struct {
	limits Limits
	rows   int
}

// New returns the size of the pages of a new scan.
func New(l Limits) *Size { return &Size{limits: l, rows: min(initialRows, l.MaxRows)} }

// Rows returns the number of rows to request next.
func (s *Size) Rows() int { return s.rows }

// Read adjusts the size after a read that took the given time. The size grows only as far as
// the next read takes about half of the timeout, in case the next rows are larger.
func (s *Size) Read(took time.Duration) {
	switch {
	case took <= s.limits.Timeout/(2*growth):
		s.rows *= growth
	case took <= s.limits.Timeout/4:
		s.rows *= 2
	case took > s.limits.Timeout/2:
		s.rows /= 2
	}
	s.rows = min(max(s.rows, 1), s.limits.MaxRows)
}

// Failed adjusts the size after a failed read.
func (s *Size) Failed() { s.rows = max(s.rows/growth, 1) }
