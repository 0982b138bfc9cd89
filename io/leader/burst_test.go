package leader

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// Guards against a leader that gives up commits of a burst of jobs behind a thin link before they
// can have been sent: it filled the link with repetitions, refused jobs as if the table were out
// of reach, and resigned.
func TestBurstOfJobsBehindThinLink(t *testing.T) {
	is := is.New(t)
	thin := &link{rate: thinLinkRate}
	x := &linkedTable{fakeTable: newFakeTable(), in: &link{rate: thinLinkRate}, out: thin, delay: 4 * time.Millisecond}
	o := testOptions(x.fakeTable)
	o.Table = x
	o.CPUShare = 1
	l, err := Acquire(context.Background(), o, oleandervalve.Row{Key: Key}, Row{Entry: "e-1", Process: "p"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	<-l.ready
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, j, err := peer.AcceptDispatch(w, r, nil); err == nil {
			l.Serve(c, j)
		}
	}))
	defer server.Close()
	follower := dial(t, server.Listener.Addr().String(), peer.Join{Entry: "e-2", Address: "e-2:1"})
	go func() {
		for n := uint64(1); ctx.Err() == nil; n++ {
			_ = follower.Send(&peer.Ping{Sequence: n})
			time.Sleep(200 * time.Millisecond)
		}
	}()

	const jobs = 60
	replies := make(chan peer.JobReply, jobs)
	started := time.Now()
	for n := range jobs {
		l.Call(peer.JobCall{
			Kind: peer.CallSubmit, Job: oleandervalve.JobID(fmt.Sprintf("job%02d", n)), Queue: work.Queue{Name: "q", Service: "s"},
			Spec: work.Spec{Payload: strings.Repeat("p", work.MaxPayload), Steps: []work.Step{{Count: 40, Estimate: time.Second}}},
		}, func(r peer.JobReply) { replies <- r })
	}
	refused := 0
	for range jobs {
		if r := <-replies; r.Verdict != dispatch.Accepted {
			refused++
		}
	}
	x.statsMu.Lock()
	failed := x.failed
	x.statsMu.Unlock()
	t.Logf("%d refused, %d commits failed, %d bytes sent in %v", refused, failed, thin.total(), time.Since(started))
	select {
	case err := <-ended:
		t.Errorf("leadership ended: %v", err)
	default:
	}
	is.Equal(refused, 0)
}
