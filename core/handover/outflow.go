package handover

import (
	"time"

	"oleandervalve"
)

const (
	// fullShare is the share of the link's rate from which on the link counts as full: answers and
	// proofs of leadership wait behind start orders.
	fullShare = 0.7
	// fullAfter is how long that must last.
	fullAfter = 2 * time.Second
)

// Outflow tells whether the link of a leader is full with what it sends.
type Outflow struct {
	link      oleandervalve.BitsPerSecond
	observed  time.Time
	fullSince time.Time
}

// NewOutflow returns the Outflow of a leader behind a link of the given rate; 0 means that it is
// unknown, and the link never counts as full.
func NewOutflow(link oleandervalve.BitsPerSecond) *Outflow { return &Outflow{link: link} }

// Sent records the bytes sent since the last call.
func (o *Outflow) Sent(now time.Time, n oleandervalve.Bytes) {
	last := o.observed
	o.observed = now
	if last.IsZero() || o.link <= 0 || float64(n)*8 < fullShare*float64(o.link)*now.Sub(last).Seconds() {
		o.fullSince = time.Time{}
		return
	}
	if o.fullSince.IsZero() {
		o.fullSince = last
	}
}

// Full reports whether the link has been full for a while.
func (o *Outflow) Full() bool {
	return !o.fullSince.IsZero() && o.observed.Sub(o.fullSince) >= fullAfter
}
