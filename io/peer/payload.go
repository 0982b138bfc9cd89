package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"oleandervalve"
	"oleandervalve/core/work"
)

// payloadCacheSize is the number of jobs whose payloads an agent keeps.
const payloadCacheSize = 64

// CompressPayload returns the compressed form of a payload, or nil if it isn't shorter.
func CompressPayload(payload string) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := io.WriteString(w, payload); err != nil {
		return nil
	}
	if err := w.Close(); err != nil || b.Len() >= len(payload) {
		return nil
	}
	return b.Bytes()
}

// DecompressPayload returns the payload of which CompressPayload returned the compressed
// form. Its length is limited to work.MaxPayload.
func DecompressPayload(compressed []byte) (string, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), work.MaxPayload+1))
	if err != nil {
		return "", &FrameError{Detail: "decompress a payload", Cause: err}
	}
	if len(b) > work.MaxPayload {
		return "", &FrameError{Detail: "payload too long"}
	}
	return string(b), nil
}

// PayloadCache holds the payloads of the jobs that were started last in a session. The
// leader and the agent apply the same changes in the same order, so the leader knows which
// payloads the agent still has.
type PayloadCache struct {
	payloads map[oleandervalve.JobID]string
	// order holds the jobs from the oldest to the newest.
	order []oleandervalve.JobID
}

// NewPayloadCache returns an empty cache.
func NewPayloadCache() *PayloadCache {
	return &PayloadCache{payloads: map[oleandervalve.JobID]string{}}
}

// Get returns the payload of a job.
func (c *PayloadCache) Get(j oleandervalve.JobID) (string, bool) {
	p, ok := c.payloads[j]
	return p, ok
}

// Put adds the payload of a job that the cache doesn't hold, and discards the oldest one if
// there are more than payloadCacheSize.
func (c *PayloadCache) Put(j oleandervalve.JobID, payload string) {
	if _, ok := c.payloads[j]; !ok {
		c.order = append(c.order, j)
	}
	c.payloads[j] = payload
	if len(c.order) > payloadCacheSize {
		delete(c.payloads, c.order[0])
		c.order = append(c.order[:0], c.order[1:]...)
	}
}

// Shorten removes the payload from a start order if the agent has it, or compresses it.
// The cache mirrors that of the agent. compressed returns the compressed form of the
// payload, or nil.
func (c *PayloadCache) Shorten(m *StartRun, compressed func() []byte) {
	if m.Payload == "" {
		return
	}
	j := m.Task.Job
	if _, ok := c.Get(j); ok {
		m.Payload, m.PayloadCached = "", true
		return
	}
	c.Put(j, "")
	if z := compressed(); z != nil {
		m.Payload, m.CompressedPayload = "", z
	}
}

// Complete restores the payload of a start order that Shorten has changed.
func (c *PayloadCache) Complete(m *StartRun) error {
	j := m.Task.Job
	switch {
	case m.PayloadCached:
		p, ok := c.Get(j)
		if !ok {
			return &FrameError{Detail: "payload of job " + string(j) + " is not cached"}
		}
		m.Payload = p
		return nil
	case m.CompressedPayload != nil:
		p, err := DecompressPayload(m.CompressedPayload)
		if err != nil {
			return err
		}
		m.Payload, m.CompressedPayload = p, nil
	}
	if m.Payload != "" {
		c.Put(j, m.Payload)
	}
	return nil
}
