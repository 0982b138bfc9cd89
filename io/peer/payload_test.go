package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

// randomPayload returns a payload of random letters a to p, which carry four bits each.
func randomPayload(r *rand.Rand, length int) string {
	b := make([]byte, length)
	for i := range b {
		b[i] = 'a' + byte(r.IntN(16))
	}
	return string(b)
}

// sendStart passes a start order through the leader's cache, a frame and the agent's cache.
func sendStart(t *testing.T, leader, agent *PayloadCache, job oleandervalve.JobID, payload string) (received string, size int) {
	t.Helper()
	m := &StartRun{Start: dispatch.Start{Task: oleandervalve.TaskName{Job: job}, Run: 1, Payload: payload}}
	leader.Shorten(m, func() []byte { return CompressPayload(payload) })
	frame, err := EncodeFrame(m)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := DecodeFrame(frame)
	if err != nil {
		t.Fatal(err)
	}
	got := messages[0].(*StartRun)
	if err := agent.Complete(got); err != nil {
		t.Fatal(err)
	}
	return got.Payload, len(frame)
}

// Guards against a run that starts with the payload of another job or with a cut one, in
// any order of jobs, also of more jobs than are cached.
func TestPayloadCacheKeepsPayloads(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 3))
		payloads := map[oleandervalve.JobID]string{}
		for n := range 3 * payloadCacheSize {
			payloads[oleandervalve.JobID(fmt.Sprint("job", n))] = randomPayload(r, r.IntN(work.MaxPayload+1))
		}
		payloads["job0"] = "" // a job without a payload
		leader, agent := NewPayloadCache(), NewPayloadCache()
		for range 2000 {
			job := oleandervalve.JobID(fmt.Sprint("job", int(r.ExpFloat64()*payloadCacheSize/2)%len(payloads)))
			got, _ := sendStart(t, leader, agent, job, payloads[job])
			is.Equal(got, payloads[job])
			is.True(len(agent.payloads) <= payloadCacheSize)
		}
	}
}

// Guards against a payload that is sent again with each task of a job, and against one that
// is sent as text although it can be compressed.
func TestPayloadIsSentOnceAndCompressed(t *testing.T) {
	is := is.New(t)
	payload := randomPayload(rand.New(rand.NewPCG(1, 3)), 2400)
	leader, agent := NewPayloadCache(), NewPayloadCache()
	_, first := sendStart(t, leader, agent, "a", payload)
	got, second := sendStart(t, leader, agent, "a", payload)
	is.Equal(got, payload)
	is.True(first < 2400*2/3)
	is.True(second < 200)
}

// Guards against an agent that starts a run without its payload because the leader takes it
// for cached, or with one that doesn't end.
func TestPayloadCacheRejectsUnknownPayloads(t *testing.T) {
	for _, c := range []struct {
		name string
		m    StartRun
		want string
	}{
		{"not cached", StartRun{Start: dispatch.Start{Task: oleandervalve.TaskName{Job: "x"}}, PayloadCached: true}, "is not cached"},
		{"not compressed", StartRun{CompressedPayload: []byte("\xff\xff\xff")}, "decompress"},
		{"too long", StartRun{CompressedPayload: CompressPayload(strings.Repeat("a", work.MaxPayload+1))}, "too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := NewPayloadCache().Complete(&c.m)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			var frame *FrameError
			is.True(errors.As(err, &frame))
		})
	}
}

// Guards against a payload that grows when it is compressed.
func TestIncompressiblePayloadIsSentAsText(t *testing.T) {
	is := is.New(t)
	is.Equal(CompressPayload("x"), nil)
	got, _ := sendStart(t, NewPayloadCache(), NewPayloadCache(), "a", "x")
	is.Equal(got, "x")
}
