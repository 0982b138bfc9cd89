package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/crash"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

// DispatchPath is the URL path on which an entry accepts agents and entries for dispatch.
const DispatchPath = "/v1/dispatch"

// maxJoinBytes is the maximum size of the first frame of a connection, so that clients that never
// join hold little memory. A Join has a few names and an address.
const maxJoinBytes = 4 << 10

// Join opens a connection from an agent or an entry to the leader.
type Join struct {
	Version int                   `cbor:"1,keyasint"`
	Agent   oleandervalve.AgentID `cbor:"2,keyasint,omitempty"`
	Entry   oleandervalve.EntryID `cbor:"3,keyasint,omitempty"`
	// Address is the address on which the sending entry accepts connections.
	Address string `cbor:"4,keyasint,omitempty"`
	// CPUShare is the share of a processor available to the sending entry.
	CPUShare float64 `cbor:"5,keyasint,omitempty"`
	// CachesPayloads means that the sending agent keeps a PayloadCache.
	CachesPayloads bool `cbor:"6,keyasint,omitempty"`
	// Link is the rate of the sending entry's link.
	Link oleandervalve.BitsPerSecond `cbor:"7,keyasint,omitempty"`
	// HandlesEvacuation means that the sending agent knows Evacuation messages.
	HandlesEvacuation bool `cbor:"8,keyasint,omitempty"`
}

// Admit accepts a connection to the leader.
type Admit struct {
	Token oleandervalve.FencingToken `cbor:"1,keyasint"`
	// Entries are the addresses of the entries known to the leader.
	Entries []string `cbor:"2,keyasint,omitempty"`
	// Executor is the last incarnation of the admitted agent's executor that the leader knows, or nil.
	Executor *oleandervalve.Incarnation `cbor:"3,keyasint,omitempty"`
	// Services are those that the configuration names, for agents; nil if it isn't known.
	Services []oleandervalve.ServiceName `cbor:"4,keyasint,omitempty"`
}

// Redirect names the leader known to the responding entry, and ends the connection.
type Redirect struct {
	Leader string `cbor:"1,keyasint,omitempty"`
	// TakeOver requests that the receiving entry become the leader.
	TakeOver bool `cbor:"2,keyasint,omitempty"`
}

// ExecutorInventory lists the runs of the executor co-located with an agent when
// a session begins.
type ExecutorInventory struct {
	Status  oleandervalve.ExecutorStatus `cbor:"1,keyasint"`
	Running []oleandervalve.RunningTask  `cbor:"2,keyasint"`
	Ended   []oleandervalve.EndedTask    `cbor:"3,keyasint"`
	// Lost are the reports of earlier incarnations of the executor. The leader may know
	// them already.
	Lost []crash.Report `cbor:"4,keyasint,omitempty"`
	// Incomplete means that further runs may have ended. RunsEnded messages report them; the
	// last one has Complete set.
	Incomplete bool `cbor:"5,keyasint,omitempty"`
	// Unanswered and UnknownFor are those of ExecutorTerminated if the executor has ended. Otherwise
	// Unanswered are the starts that a later incarnation may still carry out.
	Unanswered []dispatch.UnansweredStart `cbor:"6,keyasint,omitempty"`
	UnknownFor time.Duration              `cbor:"7,keyasint,omitempty"`
}

// ExecutorChange reports a new announcement of the executor co-located with an agent.
type ExecutorChange struct {
	Status oleandervalve.ExecutorStatus `cbor:"1,keyasint"`
}

// ExecutorTerminated reports that an incarnation of the executor has ended with
// all its runs, except those whose start orders its next incarnation may carry out.
type ExecutorTerminated struct {
	Incarnation oleandervalve.Incarnation `cbor:"1,keyasint"`
	// Lost tells what is known of the runs; it names no incarnation if the end was planned.
	Lost crash.Report `cbor:"2,keyasint,omitzero"`
	// Unanswered are the starts that have had no answer.
	Unanswered []dispatch.UnansweredStart `cbor:"3,keyasint,omitempty"`
	// UnknownFor is for how long runs may go on that an earlier process of the agent has ordered.
	UnknownFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// RunsEnded reports ended runs.
type RunsEnded struct {
	Incarnation oleandervalve.Incarnation `cbor:"1,keyasint"`
	Ends        []oleandervalve.EndedTask `cbor:"2,keyasint"`
	// Complete means that all ends that the inventory of the session left out have been
	// reported.
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// RunOutlived reports that an isolated run has lasted as long as its hints ask for.
type RunOutlived struct {
	Task oleandervalve.TaskName  `cbor:"1,keyasint"`
	Run  oleandervalve.RunNumber `cbor:"2,keyasint"`
}

// RunNeverStarted reports a run that has not started and never will.
type RunNeverStarted struct{ dispatch.NeverStarted }

// StartRun requests that an agent start a run.
type StartRun struct {
	dispatch.Start
	// CompressedPayload replaces the payload for agents that cache payloads.
	CompressedPayload []byte `cbor:"8,keyasint,omitempty"`
	// PayloadCached means that the agent has got the payload with an earlier order.
	PayloadCached bool `cbor:"9,keyasint,omitempty"`
}

// StopRun requests that an agent stop a run.
type StopRun struct{ dispatch.Stop }

// AdoptRun sends an agent the hints of a run that its inventory listed.
type AdoptRun struct{ dispatch.Adopt }

// AcknowledgeEnd notifies an agent that the end of a run is recorded.
type AcknowledgeEnd struct{ dispatch.Acknowledge }

// Evacuation tells an agent whether the data centre of its executor is evacuated. It is sent when a
// session begins and on each change.
type Evacuation struct{ dispatch.Evacuation }

// ShareContention sends an agent the pairs of images that don't interfere.
type ShareContention struct{ dispatch.ShareContention }

// Ping requests a heartbeat from the leader.
type Ping struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// TableAge is the time since the sender's last successful call to the table.
	TableAge time.Duration `cbor:"2,keyasint,omitempty"`
	// Sample is the load of the tasks measured at the agent's executor.
	Sample contention.Sample `cbor:"3,keyasint,omitempty"`
	// Checkpoints are the checkpoints made at the agent's executor since the last Ping.
	Checkpoints []dispatch.RunCheckpoint `cbor:"4,keyasint,omitempty"`
	// DelayedStarts are the delayed starts at the agent. ListsDelayedStarts means that they
	// replace those of the earlier messages.
	DelayedStarts      []dispatch.DelayedStart `cbor:"5,keyasint,omitempty"`
	ListsDelayedStarts bool                    `cbor:"6,keyasint,omitempty"`
	// Started are the starts that have been confirmed since the last Ping. ConfirmsStarts means that
	// the agent confirms starts, which those of earlier releases don't.
	Started        []dispatch.StartedRun `cbor:"7,keyasint,omitempty"`
	ConfirmsStarts bool                  `cbor:"8,keyasint,omitempty"`
	// ReadAge is the time since the sending entry sent its last successful read of the leader's row; 0
	// if it doesn't tell.
	ReadAge time.Duration `cbor:"9,keyasint,omitempty"`
}

// Pong responds to a Ping.
type Pong struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// ProofAge is the time since the leader sent the last commit that proved its leadership.
	ProofAge time.Duration `cbor:"2,keyasint"`
	// Revision is the revision of the configuration applied at the leader.
	Revision oleandervalve.Revision `cbor:"3,keyasint,omitempty"`
	// StartProofAge is the age of the proof that start orders need, which includes the age of the
	// leader's view of the evacuations. It is left out where there are no evacuations, and by
	// leaders of earlier releases; ProofAge is then that age.
	StartProofAge time.Duration `cbor:"4,keyasint,omitempty"`
}

// JobCallKind is the kind of a request about jobs.
type JobCallKind int

const (
	// CallSubmit submits a job.
	CallSubmit JobCallKind = iota + 1
	// CallStatus requests the state of a job.
	CallStatus
	// CallCancel cancels a job.
	CallCancel
	// CallCountWaiting requests the number of waiting jobs of a queue.
	CallCountWaiting
)

// JobCall forwards a caller's request to the leader.
type JobCall struct {
	ID    uint64              `cbor:"1,keyasint"`
	Kind  JobCallKind         `cbor:"2,keyasint"`
	Job   oleandervalve.JobID `cbor:"3,keyasint,omitempty"`
	Queue work.Queue          `cbor:"4,keyasint,omitempty"`
	Spec  work.Spec           `cbor:"5,keyasint,omitempty"`
}

// JobReply responds to a JobCall.
type JobReply struct {
	ID         uint64               `cbor:"1,keyasint"`
	Verdict    dispatch.Verdict     `cbor:"2,keyasint,omitempty"`
	Reason     oleandervalve.Reason `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration        `cbor:"4,keyasint,omitempty"`
	State      work.State           `cbor:"5,keyasint,omitempty"`
	Count      int                  `cbor:"6,keyasint,omitempty"`
}

const (
	typeJoin               Type = "join"
	typeAdmit              Type = "admit"
	typeRedirect           Type = "redirect"
	typeExecutorInventory  Type = "inventory"
	typeExecutorChange     Type = "executor"
	typeExecutorTerminated Type = "executorLost"
	typeRunsEnded          Type = "ends"
	typeRunNeverStarted    Type = "void"
	typeRunOutlived        Type = "outlived"
	typeStartRun           Type = "startRun"
	typeStopRun            Type = "stopRun"
	typeAdoptRun           Type = "adoptRun"
	typeAcknowledgeEnd     Type = "ackEnd"
	typeShareContention    Type = "contention"
	typeEvacuation         Type = "evacuation"
	typePing               Type = "ping"
	typePong               Type = "pong"
	typeJobCall            Type = "call"
	typeJobReply           Type = "reply"
)

// Type returns "join".
func (*Join) Type() Type { return typeJoin }

// Type returns "admit".
func (*Admit) Type() Type { return typeAdmit }

// Type returns "redirect".
func (*Redirect) Type() Type { return typeRedirect }

// Type returns "inventory".
func (*ExecutorInventory) Type() Type { return typeExecutorInventory }

// Type returns "executor".
func (*ExecutorChange) Type() Type { return typeExecutorChange }

// Type returns "executorLost".
func (*ExecutorTerminated) Type() Type { return typeExecutorTerminated }

// Type returns "ends".
func (*RunsEnded) Type() Type { return typeRunsEnded }

// Type returns "void".
func (*RunNeverStarted) Type() Type { return typeRunNeverStarted }

// Type returns "outlived".
func (*RunOutlived) Type() Type { return typeRunOutlived }

// Type returns "startRun".
func (*StartRun) Type() Type { return typeStartRun }

// Type returns "stopRun".
func (*StopRun) Type() Type { return typeStopRun }

// Type returns "adoptRun".
func (*AdoptRun) Type() Type { return typeAdoptRun }

// Type returns "ackEnd".
func (*AcknowledgeEnd) Type() Type { return typeAcknowledgeEnd }

// Type returns "contention".
func (*ShareContention) Type() Type { return typeShareContention }

// Type returns "evacuation".
func (*Evacuation) Type() Type { return typeEvacuation }

// Type returns "ping".
func (*Ping) Type() Type { return typePing }

// Type returns "pong".
func (*Pong) Type() Type { return typePong }

// Type returns "call".
func (*JobCall) Type() Type { return typeJobCall }

// Type returns "reply".
func (*JobReply) Type() Type { return typeJobReply }

// newDispatchMessage returns an empty message of a type, or nil for an unknown type.
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
	case typeInventoryPart:
		return &InventoryPart{}
	case typeExecutorChange:
		return &ExecutorChange{}
	case typeExecutorTerminated:
		return &ExecutorTerminated{}
	case typeRunsEnded:
		return &RunsEnded{}
	case typeRunNeverStarted:
		return &RunNeverStarted{}
	case typeRunOutlived:
		return &RunOutlived{}
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
	case typeEvacuation:
		return &Evacuation{}
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

// DialDispatch connects to an entry and sends the Join. The first message
// received on the connection is the response.
func DialDispatch(ctx context.Context, address string, j Join, m *Meter) (*Conn, error) {
	s, _, err := websocket.Dial(ctx, "ws://"+address+DispatchPath, nil) //nolint:bodyclose // the library closes the body of a successful upgrade
	if err != nil {
		return nil, err
	}
	c := newConn(s, m)
	j.Version = ProtocolVersion
	return c, c.Send(&j)
}

// AcceptDispatch upgrades an HTTP request and receives the Join.
func AcceptDispatch(w http.ResponseWriter, r *http.Request, meter *Meter) (*Conn, Join, error) {
	s, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, Join{}, err
	}
	c := newConn(s, meter)
	s.SetReadLimit(maxJoinBytes)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	m, err := c.Receive(ctx)
	s.SetReadLimit(MaxFrame)
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
