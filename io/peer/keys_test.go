package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve/core/callerkey"
)

// Guards against key message fields that are lost in encoding, and against
// structs that differ from those of core/callerkey.
func TestKeyMessages(t *testing.T) {
	is := is.New(t)
	export := callerkey.Export{
		Transfer: 1 << 63, FromAgent: "a", FromIncarnation: 2, ToAgent: "b", ToIncarnation: 3, Ranges: []uint16{0, 255}, Sequence: 4, Last: true,
		Records: []callerkey.Record{{
			Entry: "e", Request: "r", Caller: "c", Service: "s", Key: "k", Digest: [32]byte{1, 31: 2}, Status: callerkey.StatusDone,
			Closed: []string{"e", "q"}, KeepFor: time.Hour, HTTPStatus: 201, Header: http.Header{"A": {"b"}}, Body: []byte("x"), Kept: true,
		}},
	}
	begin := KeyBegin(callerkey.Begin{Entry: "e", Request: "r", Caller: "c", Service: "s", Key: "k", Digest: [32]byte{9}, Remaining: time.Second, MapVersion: 5})
	state := KeyState(callerkey.Reply{Entry: "e", Request: "r", Status: callerkey.StatusDone, Reason: "x", RetryAfter: 1, MapVersion: 5, Outcome: "answered", HTTPStatus: 200, Body: []byte("y"), Kept: true})
	finish := KeyFinish(callerkey.Finish{Entry: "e", Request: "r", Caller: "c", Service: "s", Key: "k", Outcome: "notRun", Kept: true})
	imported := KeyImport(callerkey.ExportAck{Transfer: 1, FromAgent: "a", ToAgent: "b", Next: 2, Complete: true, Refused: "full"})
	sent := []Message{&begin, &state, &finish, NewKeyExport(export), &imported}
	frame, err := EncodeFrame(sent...)
	is.NoErr(err)
	got, err := DecodeFrame(frame)
	is.NoErr(err)
	is.Equal(got, sent)
	is.Equal(got[3].(*KeyExport).Export(), export)
}
