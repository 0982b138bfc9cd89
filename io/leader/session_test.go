package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/io/peer"
)

// Guards against an agent that counts as disconnected for good, because the end of its earlier
// connection is handled in part before and in part after it has joined again.
func TestEndOfConnectionThatIsReplacedAtTheSameTime(t *testing.T) {
	is := is.New(t)
	s := newTerms(t)
	s.connect("a-1")
	_, _, address := startLoading(t)
	first := dial(t, address, peer.Join{Agent: "a-1"})
	second := &session{conn: dial(t, address, peer.Join{Agent: "a-2"})}
	s.leader.mu.Lock()
	served, rejoined := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		s.leader.Serve(first, peer.Join{Agent: "a-1"})
	}()
	time.Sleep(20 * time.Millisecond)
	s.leader.mu.Unlock()
	for joined := false; !joined; time.Sleep(time.Millisecond) {
		s.leader.mu.Lock()
		joined = s.leader.agents["a-1"] != nil
		s.leader.mu.Unlock()
	}
	// The mutex serves waiters in turn once one of them has failed to get it for more than 1 ms.
	s.leader.mu.Lock()
	first.Close()
	time.Sleep(50 * time.Millisecond)
	go func() {
		defer close(rejoined)
		s.leader.mu.Lock()
		s.leader.agents["a-1"] = second
		s.leader.mu.Unlock()
	}()
	time.Sleep(50 * time.Millisecond)
	connected := make(chan struct{})
	go func() {
		defer close(connected)
		s.connect("a-1")
	}()
	time.Sleep(50 * time.Millisecond)
	s.leader.mu.Unlock()
	s.leader.mu.Lock()
	time.Sleep(10 * time.Millisecond)
	s.leader.mu.Unlock()
	<-served
	<-rejoined
	<-connected
	s.submit()
	s.advance(time.Second)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("a-1"))
}
