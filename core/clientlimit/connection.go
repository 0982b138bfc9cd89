package clientlimit

import (
	"time"

	"oleandervalve"
)

// stopRefusalTime is the part of a planned stop in which requests that have not been received are
// refused, so that their responses can still be sent.
const stopRefusalTime = 300 * time.Millisecond

// newConnectionGrace is the time for which a new connection isn't closed before older ones, so
// that an ordinary caller can send its request while many others connect.
const newConnectionGrace = 500 * time.Millisecond

// Phase is the state of a connection.
type Phase int

const (
	// Idle means that the connection has had a response and awaits a request.
	Idle Phase = iota
	// Receiving means that the connection is new, or that a request is being received.
	Receiving
	// Serving means that a whole request has been received and its response is not complete.
	Serving
)

// Connection is an open connection of a listener.
type Connection struct {
	Phase Phase
	// ChangedAt is the time of the last byte received, or of the last response.
	ChangedAt time.Time
	// OpenedAt is the time at which the connection was accepted.
	OpenedAt time.Time
	// Received is the number of bytes of the request that have been received.
	Received oleandervalve.Bytes
}

// ConnectionToClose returns the index of the connection to close for a new one at the limit of a
// listener: the one that is idle for the longest time, otherwise the one whose request has made
// the least progress. If all are new it is the oldest of them, so that each client has the same
// time for its request, however fast others connect. It reports false if there is none; then
// the new connection is to be closed.
func ConnectionToClose(open []Connection, now time.Time) (int, bool) {
	idle, stalled, least, oldest := -1, -1, -1, -1
	for i, c := range open {
		switch {
		case c.Phase == Idle:
			if idle < 0 || c.ChangedAt.Before(open[idle].ChangedAt) {
				idle = i
			}
		case c.Phase != Receiving:
		case now.Sub(c.OpenedAt) < newConnectionGrace:
			if oldest < 0 || c.OpenedAt.Before(open[oldest].OpenedAt) {
				oldest = i
			}
		case now.Sub(c.ChangedAt) >= StallTime:
			if stalled < 0 || c.ChangedAt.Before(open[stalled].ChangedAt) {
				stalled = i
			}
		case least < 0 || c.Received < open[least].Received:
			least = i
		}
	}
	for _, i := range []int{idle, stalled, least, oldest} {
		if i >= 0 {
			return i, true
		}
	}
	return 0, false
}

// StopAction is what a planned stop does with a request that is being received.
type StopAction int

const (
	// Await means that the stop waits for the rest of the request.
	Await StopAction = iota
	// ReadOnce means that the request is refused unless bytes of it have arrived that the process
	// has not read.
	ReadOnce
	// Refuse means that the request is refused.
	Refuse
)

// ActionAtStop returns what a planned stop that ends at the given time does with the request that
// is being received from a connection. A refused request can be served by another process
// earlier than by one that waits for a client without progress.
func ActionAtStop(c Connection, now, end time.Time) StopAction {
	switch {
	case end.Sub(now) <= stopRefusalTime:
		return Refuse
	case now.Sub(c.ChangedAt) >= StallTime:
		return ReadOnce
	}
	return Await
}
