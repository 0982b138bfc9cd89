package peer

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrame is the maximum size of a frame in bytes.
	MaxFrame = 64 << 10
	// MaxChunk is the maximum size of a body chunk in bytes; the rest of the
	// frame is for the other fields.
	MaxChunk = 16 << 10
)

// FrameError reports a frame that can't be decoded or exceeds a limit, or an
// unexpected message; the connection is closed.
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
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
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

// appendMessage encodes a message as two CBOR items: its type and its fields.
func appendMessage(b *bytes.Buffer, m Message) error {
	e := encMode.NewEncoder(b)
	if err := e.Encode(string(m.Type())); err != nil {
		return err
	}
	return e.Encode(m)
}

// DecodeFrame returns the messages of a frame; the error is a *FrameError.
func DecodeFrame(frame []byte) ([]Message, error) { return decodeFrame(frame, nil) }

// decodeFrame decodes a frame and counts the bytes of its messages.
func decodeFrame(frame []byte, meter *Meter) ([]Message, error) {
	if len(frame) > MaxFrame {
		return nil, &FrameError{Detail: fmt.Sprintf("%d bytes exceed the limit of %d", len(frame), MaxFrame)}
	}
	var out []Message
	for len(frame) > 0 {
		var t string
		rest, err := decMode.UnmarshalFirst(frame, &t)
		if err != nil {
			return nil, &FrameError{Detail: "message type", Cause: err}
		}
		m := newMessage(Type(t))
		if m == nil {
			return nil, &FrameError{Detail: fmt.Sprintf("unknown message type %.40q", t)}
		}
		next, err := decMode.UnmarshalFirst(rest, m)
		if err != nil {
			return nil, &FrameError{Detail: "fields of " + t, Cause: err}
		}
		meter.add(directionReceived, Type(t), len(frame)-len(next))
		frame = next
		out = append(out, m)
	}
	return out, nil
}

// EncodeFrame returns a frame that contains the given messages.
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
