package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/matryer/is"
)

// Guards against a malformed, oversized or truncated frame that is decoded.
func TestDecodeFrameRejectsMalformedFrames(t *testing.T) {
	good, err := EncodeFrame(&Heartbeat{Sequence: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		frame []byte
		want  string
	}{
		{"truncated", good[:len(good)-3], "fields of heartbeat"},
		{"type only", good[:10], "fields of heartbeat"},
		{"not text", []byte{0x01, 0x02}, "message type"},
		{"unknown type", []byte{0x63, 'a', 'b', 'c', 0xa0}, `unknown message type "abc"`},
		{"oversized", make([]byte, MaxFrame+1), "exceed the limit"},
		{"duplicate field", append([]byte{0x66}, append([]byte("window"), 0xa2, 0x62, 'i', 'd', 0x61, 'x', 0x62, 'i', 'd', 0x61, 'y')...), "fields of window"},
		{"indefinite length", append([]byte{0x66}, append([]byte("window"), 0xbf, 0xff)...), "fields of window"},
		{"second message truncated", append(append([]byte{}, good...), 0x66), "message type"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeFrame(c.frame)
			var bad *FrameError
			is.True(errors.As(err, &bad))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against messages of a frame that are lost or reordered.
func TestFrameKeepsMessagesInOrder(t *testing.T) {
	is := is.New(t)
	frame, err := EncodeFrame(&Body{ID: "a", Data: []byte("1")}, &End{ID: "a", Length: 1}, &Window{ID: "b", Bytes: 5})
	is.NoErr(err)
	got, err := DecodeFrame(frame)
	is.NoErr(err)
	is.Equal(len(got), 3)
	is.Equal(got[0].(*Body).Data, []byte("1"))
	is.Equal(got[1].(*End).Length, int64(1))
	is.Equal(got[2].(*Window).Bytes, int64(5))
}

// Guards against a decoder that panics or accepts a message that can't be encoded again.
func FuzzDecodeFrame(f *testing.F) {
	seed, _ := EncodeFrame(&Hello{Agent: "a"}, &Request{ID: "r", Method: "GET", Header: http.Header{"A": {"b"}}})
	f.Add(seed)
	f.Add([]byte{0x66, 'w', 'i', 'n', 'd', 'o', 'w', 0xa0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := DecodeFrame(frame)
		if err != nil {
			return
		}
		for _, m := range messages {
			var b bytes.Buffer
			if err := appendMessage(&b, m); err != nil {
				t.Fatalf("decoded %s can't be encoded: %v", m.Type(), err)
			}
		}
	})
}

// Guards against a peer of another version that is accepted, and against a
// malformed frame that does not close its connection.
func TestAcceptRejectsOtherVersionsAndMalformedFrames(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  websocket.MessageType
		first func() []byte
		want  string
	}{
		{"other version", websocket.MessageBinary, func() []byte { b, _ := EncodeFrame(&Hello{Version: 99}); return b }, "version 1 and the agent version 99"},
		{"not a hello", websocket.MessageBinary, func() []byte { b, _ := EncodeFrame(&Heartbeat{}); return b }, "hello expected, got heartbeat"},
		{"malformed frame", websocket.MessageBinary, func() []byte { return []byte{0xff} }, "malformed frame"},
		{"text frame", websocket.MessageText, func() []byte { return []byte("hello") }, "text frame"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			result := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _, err := Accept(w, r)
				result <- err
			}))
			defer s.Close()
			w, _, err := websocket.Dial(context.Background(), s.URL, nil) //nolint:bodyclose // closed by the library
			is.NoErr(err)
			defer w.CloseNow()
			is.NoErr(w.Write(context.Background(), c.kind, c.first()))
			err = <-result
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
