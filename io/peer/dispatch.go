package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

// DispatchPath is the path on which an entry accepts agents and entries for dispatching.
const DispatchPath = "/v1/dispatch"

// Join opens a connection from an agent or an entry to the leading entry.
type Join struct {
	Version int                   `cbor:"1,keyasint"`
	Agent   oleandervalve.AgentID `cbor:"2,keyasint,omitempty"`
	Entry   oleandervalve.EntryID `cbor:"3,keyasint,omitempty"`
	// Address is where an entry accepts connections.
	Address string `cbor:"4,keyasint,omitempty"`
	// CPUShare is the share of a processor that an entry has.
	CPUShare float64 `cbor:"5,keyasint,omitempty"`
}

// Admit accepts a connection to the leading entry.
type Admit struct {
	Token oleandervalve.FencingToken `cbor:"1,keyasint"`
	// Entries are the addresses of the entries that the leader knows.
	Entries []string `cbor:"2,keyasint,omitempty"`
}

// Redirect names the leading entry, as far as the answering entry knows, and ends the connection.
type Redirect struct {
	Leader string `cbor:"1,keyasint,omitempty"`
	// TakeOver asks the addressed entry to become the leader.
	TakeOver bool `cbor:"2,keyasint,omitempty"`
}

// ExecutorInventory is what runs at the executor beside an agent when a session begins.
type ExecutorInventory struct {
	Status  oleandervalve.ExecutorStatus `cbor:"1,keyasint"`
	Running []oleandervalve.RunningTask  `cbor:"2,keyasint"`
	Ended   []oleandervalve.EndedTask    `cbor:"3,keyasint"`
}

// ExecutorChange is a new announcement of the executor beside an agent.
type ExecutorChange struct {
	Status oleandervalve.ExecutorStatus `cbor:"1,keyasint"`
}

// ExecutorLost tells that an incarnation has ended with all its runs.
type ExecutorLost struct {
	Incarnation oleandervalve.Incarnation `cbor:"1,keyasint"`
}

// RunEnds reports ended runs.
type RunEnds struct {
	Incarnation oleandervalve.Incarnation `cbor:"1,keyasint"`
	Ends        []oleandervalve.EndedTask `cbor:"2,keyasint"`
}

// RunVoid reports a run that does not run and never will.
type RunVoid struct{ dispatch.NeverStarted }

// StartRun asks an agent to start a run.
type StartRun struct{ dispatch.Start }

// StopRun asks an agent to stop a run.
type StopRun struct{ dispatch.Stop }

// AdoptRun tells an agent the traits of a listed run.
type AdoptRun struct{ dispatch.Adopt }

// AcknowledgeEnd tells an agent that an end is recorded.
type AcknowledgeEnd struct{ dispatch.Acknowledge }

// ShareContention tells an agent which pairs of images don't interfere.
type ShareContention struct{ dispatch.ShareContention }

// Ping asks the leading entry for a sign of life.
type Ping struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// TableAge is the time since the sender's last successful call to the table.
	TableAge time.Duration `cbor:"2,keyasint,omitempty"`
	// Sample is what an agent's executor shows of the load of its tasks.
	Sample contention.Sample `cbor:"3,keyasint,omitempty"`
	// Saved are the checkpoints that an agent's executor has made since the last Ping.
	Saved []dispatch.RunCheckpoint `cbor:"4,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// ProofAge is the time since the leader sent the last commit that proved its leadership.
	ProofAge time.Duration `cbor:"2,keyasint"`
	// Revision is the configuration in force at the leader.
	Revision oleandervalve.Revision `cbor:"3,keyasint,omitempty"`
}

// JobCallKind tells the requests about jobs apart.
type JobCallKind int

const (
	// CallSubmit hands a job in.
	CallSubmit JobCallKind = iota + 1
	// CallStatus asks for the state of a job.
	CallStatus
	// CallCancel ends a job.
	CallCancel
	// CallWaiting counts the waiting jobs of a queue.
	CallWaiting
)

// JobCall passes a caller's request on to the leading entry.
type JobCall struct {
	ID    uint64              `cbor:"1,keyasint"`
	Kind  JobCallKind         `cbor:"2,keyasint"`
	Job   oleandervalve.JobID `cbor:"3,keyasint,omitempty"`
	Queue work.Queue          `cbor:"4,keyasint,omitempty"`
	Spec  work.Spec           `cbor:"5,keyasint,omitempty"`
}

// JobReply answers a JobCall.
type JobReply struct {
	ID         uint64               `cbor:"1,keyasint"`
	Verdict    dispatch.Verdict     `cbor:"2,keyasint,omitempty"`
	Reason     oleandervalve.Reason `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration        `cbor:"4,keyasint,omitempty"`
	State      work.State           `cbor:"5,keyasint,omitempty"`
	Count      int                  `cbor:"6,keyasint,omitempty"`
}

const (
	typeJoin              Type = "join"
	typeAdmit             Type = "admit"
	typeRedirect          Type = "redirect"
	typeExecutorInventory Type = "inventory"
	typeExecutorChange    Type = "executor"
	typeExecutorLost      Type = "executorLost"
	typeRunEnds           Type = "ends"
	typeRunVoid           Type = "void"
	typeStartRun          Type = "startRun"
	typeStopRun           Type = "stopRun"
	typeAdoptRun          Type = "adoptRun"
	typeAcknowledgeEnd    Type = "ackEnd"
	typeShareContention   Type = "contention"
	typePing              Type = "ping"
	typePong              Type = "pong"
	typeJobCall           Type = "call"
	typeJobReply          Type = "reply"
)

// Type returns the kind of the message.
func (*Join) Type() Type { return typeJoin }

// Type returns the kind of the message.
func (*Admit) Type() Type { return typeAdmit }

// Type returns the kind of the message.
func (*Redirect) Type() Type { return typeRedirect }

// Type returns the kind of the message.
func (*ExecutorInventory) Type() Type { return typeExecutorInventory }

// Type returns the kind of the message.
func (*ExecutorChange) Type() Type { return typeExecutorChange }

// Type returns the kind of the message.
func (*ExecutorLost) Type() Type { return typeExecutorLost }

// Type returns the kind of the message.
func (*RunEnds) Type() Type { return typeRunEnds }

// Type returns the kind of the message.
func (*RunVoid) Type() Type { return typeRunVoid }

// Type returns the kind of the message.
func (*StartRun) Type() Type { return typeStartRun }

// Type returns the kind of the message.
func (*StopRun) Type() Type { return typeStopRun }

// Type returns the kind of the message.
func (*AdoptRun) Type() Type { return typeAdoptRun }

// Type returns the kind of the message.
func (*AcknowledgeEnd) Type() Type { return typeAcknowledgeEnd }

// Type returns the kind of the message.
func (*ShareContention) Type() Type { return typeShareContention }

// Type returns the kind of the message.
func (*Ping) Type() Type { return typePing }

// Type returns the kind of the message.
func (*Pong) Type() Type { return typePong }

// Type returns the kind of the message.
func (*JobCall) Type() Type { return typeJobCall }

// Type returns the kind of the message.
func (*JobReply) Type() Type { return typeJobReply }

// newDispatchMessage returns an empty message of a kind, or nil.
func newDispatchMessage(t Type) Message {
	switch t {
	case typeJoin:
		return &Join{}
	case typeAdmit:
		return &Admit{}
	case typeRedirect:
		return &Redirect{}
	case typeExecutorInventory:
		return &ExecutorInventory{}
	case typeExecutorChange:
		return &ExecutorChange{}
	case typeExecutorLost:
		return &ExecutorLost{}
	case typeRunEnds:
		return &RunEnds{}
	case typeRunVoid:
		return &RunVoid{}
	case typeStartRun:
		return &StartRun{}
	case typeStopRun:
		return &StopRun{}
	case typeAdoptRun:
		return &AdoptRun{}
	case typeAcknowledgeEnd:
		return &AcknowledgeEnd{}
	case typeShareContention:
		return &ShareContention{}
	case typePing:
		return &Ping{}
	case typePong:
		return &Pong{}
	case typeJobCall:
		return &JobCall{}
	case typeJobReply:
		return &JobReply{}
	}
	return nil
}

// DialDispatch connects to an entry; the answer is the connection's first message.
func DialDispatch(ctx context.Context, address string, j Join) (*Conn, error) {
	s, _, err := websocket.Dial(ctx, "ws://"+address+DispatchPath, nil) //nolint:bodyclose // the library closes the body of a successful upgrade
	if err != nil {
		return nil, err
	}
	c := NewConn(s)
	j.Version = ProtocolVersion
	return c, c.Send(&j)
}

// AcceptDispatch upgrades a request and reads the opening message.
func AcceptDispatch(w http.ResponseWriter, r *http.Request) (*Conn, Join, error) {
	s, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, Join{}, err
	}
	c := NewConn(s)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, Join{}, err
	}
	j, ok := m.(*Join)
	if !ok || j.Version != ProtocolVersion {
		c.Close()
		return nil, Join{}, &FrameError{Detail: "join of this protocol version expected, got " + string(m.Type())}
	}
	return c, *j, nil
}
