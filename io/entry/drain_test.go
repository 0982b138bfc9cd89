package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/entry"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

// Guards against an acknowledged drain that the agent, suspended or cut off, never hears of.
func TestDrainIsAcknowledgedOnceTheAgentConfirmsIt(t *testing.T) {
	for _, tt := range []struct {
		name string
		// suspended means that the agent reads nothing, and lost that its connection ends.
		suspended, lost bool
	}{
		{name: "agent confirms"},
		{name: "agent is suspended", suspended: true},
		{name: "connection is lost", lost: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, err := standin.Serve("127.0.0.1:0", standin.NewTable(oleandervalve.SystemClock(), 1).Handler())
			is.NoErr(err)
			t.Cleanup(table.Close)
			e := entry.New("entry-1", entry.WithLog(discardLog()))
			t.Cleanup(e.Close)
			c, err := entry.NewConfiguration(e, tablehttp.NewClient(table.URL, time.Second), entry.ConfigurationOptions{RequiredRevisionWait: time.Millisecond})
			is.NoErr(err)
			t.Cleanup(c.Close)
			server, err := standin.Serve("127.0.0.1:0", e.PeerHandler())
			is.NoErr(err)
			t.Cleanup(server.Close)
			conn, _, err := peer.Dial(context.Background(), server.URL, http.DefaultClient, peer.Hello{Agent: "agent-1", Worker: "worker-1", Epoch: 7})
			is.NoErr(err)
			t.Cleanup(conn.Close)
			if !tt.suspended {
				go func() {
					for {
						m, err := conn.Receive(context.Background())
						if err != nil {
							return
						}
						if d, ok := m.(*peer.Drain); ok && tt.lost {
							conn.Close()
						} else if ok {
							_ = conn.Send(d)
						}
					}
				}()
			}
			var p operatorhttp.Progress
			for connected := false; !connected; time.Sleep(time.Millisecond) {
				p, err = c.Drain(context.Background(), operatorhttp.DrainRequest{Instance: "worker-1", Within: time.Minute}, operator.Actor{})
				var missing *oleandervalve.NotFoundError
				connected = !errors.As(err, &missing)
			}
			if !tt.suspended && !tt.lost {
				is.NoErr(err)
				is.Equal(p.State, "draining")
				return
			}
			var unknown *oleandervalve.UnknownOutcomeError
			is.True(errors.As(err, &unknown))
		})
	}
}
