package peer

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrame is the largest frame in bytes.
	MaxFrame = 64 << 10
	// MaxChunk is the largest body chunk in bytes; it leaves room for the frame's other fields.
	MaxChunk = 16 << 10
)

// FrameError reports a frame that can't be decoded; its connection is closed.
type FrameError struct {
	Detail string
	Cause  error
}

func (e *FrameError) Error() string {
	return "malformed frame (" + e.Detail + "): check that both processes run the same release"
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 8192,
		MaxMapPairs:      8192,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsAllowed,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// appendMessage writes a message as two CBOR items, its type and its fields.
func appendMessage(b *bytes.Buffer, m Message) error {
	e := encoding.NewEncoder(b)
	if err := e.Encode(string(m.Type())); err != nil {
		return err
	}
	return e.Encode(m)
}

// DecodeFrame returns the messages of one frame, or a *FrameError.
func DecodeFrame(frame []byte) ([]Message, error) {
	if len(frame) > MaxFrame {
		return nil, &FrameError{Detail: fmt.Sprintf("%d bytes exceed the limit of %d", len(frame), MaxFrame)}
	}
	var out []Message
	for len(frame) > 0 {
		var t string
		rest, err := decoding.UnmarshalFirst(frame, &t)
		if err != nil {
			return nil, &FrameError{Detail: "message type", Cause: err}
		}
		m := newMessage(Type(t))
		if m == nil {
			return nil, &FrameError{Detail: fmt.Sprintf("unknown message type %.40q", t)}
		}
		if frame, err = decoding.UnmarshalFirst(rest, m); err != nil {
			return nil, &FrameError{Detail: "fields of " + t, Cause: err}
		}
		out = append(out, m)
	}
	return out, nil
}

// EncodeFrame returns one frame that holds the given messages.
func EncodeFrame(messages ...Message) ([]byte, error) {
	var b bytes.Buffer
	for _, m := range messages {
		if err := appendMessage(&b, m); err != nil {
			return nil, err
		}
	}
	if b.Len() > MaxFrame {
		return nil, &FrameError{Detail: fmt.Sprintf("%d bytes exceed the limit of %d", b.Len(), MaxFrame)}
	}
	return b.Bytes(), nil
}
