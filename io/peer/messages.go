package peer

import (
	"net/http"
	"time"

	"oleandervalve"
)

// ProtocolVersion is the version of the messages; a peer with another version is rejected.
const ProtocolVersion = 1

// Type identifies the type of a message on the wire.
type Type string

// Message is one message of the protocol.
type Message interface {
	// Type returns the type of the message.
	Type() Type
}

// Hello opens a connection from an agent to an entry.
type Hello struct {
	Version  int                           `cbor:"version"`
	Agent    oleandervalve.AgentID         `cbor:"agent"`
	Worker   oleandervalve.WorkerID        `cbor:"worker,omitempty"`
	Location oleandervalve.Location        `cbor:"location"`
	Epoch    oleandervalve.ConnectionEpoch `cbor:"epoch"`
	Capacity oleandervalve.Resources       `cbor:"capacity"`
	Labels   map[string]string             `cbor:"labels,omitempty"`
	Revision oleandervalve.Revision        `cbor:"revision"`
}

// Welcome accepts a connection.
type Welcome struct {
	Version  int                    `cbor:"version"`
	Entry    oleandervalve.EntryID  `cbor:"entry"`
	Revision oleandervalve.Revision `cbor:"revision"`
}

// Reject rejects a connection.
type Reject struct {
	Reason oleandervalve.Reason `cbor:"reason"`
	Remedy string               `cbor:"remedy"`
}

// Heartbeat notifies an entry that an agent is alive.
type Heartbeat struct {
	Sequence uint64 `cbor:"sequence"`
	// SentAfter is the time since the agent's start, on its monotonic clock.
	SentAfter time.Duration           `cbor:"sentAfterNs"`
	Revision  oleandervalve.Revision  `cbor:"revision"`
	Free      oleandervalve.Resources `cbor:"free"`
	Digest    uint64                  `cbor:"digest,omitempty"`
}

// HeartbeatAck responds to a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64 `cbor:"sequence"`
	// Revision is the revision of the configuration applied at the entry.
	Revision oleandervalve.Revision `cbor:"revision"`
}

// EndpointState states whether an endpoint accepts new requests.
type EndpointState string

const (
	// EndpointReady is the state of an endpoint that accepts new requests.
	EndpointReady EndpointState = "ready"
	// EndpointLeaving is the state of an endpoint that finishes its requests and
	// accepts no new ones.
	EndpointLeaving EndpointState = "leaving"
	// EndpointGone is the state of an endpoint that is no longer there.
	EndpointGone EndpointState = "gone"
)

// EndpointStatus describes one endpoint of an agent.
type EndpointStatus struct {
	Endpoint oleandervalve.EndpointID  `cbor:"endpoint"`
	Service  oleandervalve.ServiceName `cbor:"service"`
	Slots    int                       `cbor:"slots"`
	State    EndpointState             `cbor:"state"`
	Labels   map[string]string         `cbor:"labels,omitempty"`
}

// Endpoints lists an agent's endpoints; if Full is set it replaces the earlier list.
type Endpoints struct {
	Full      bool             `cbor:"full"`
	Endpoints []EndpointStatus `cbor:"endpoints"`
}

// ClassDemand is the number of waiting requests of one class for one service.
type ClassDemand struct {
	Service oleandervalve.ServiceName `cbor:"service"`
	Class   oleandervalve.ClassName   `cbor:"class"`
	Waiting int                       `cbor:"waiting"`
	// Teams is the number of teams that the waiting requests belong to.
	Teams int `cbor:"teams"`
}

// Demand notifies an agent of the requests that wait at an entry.
type Demand struct {
	Classes []ClassDemand `cbor:"classes"`
}

// Credit permits an entry to send Count requests to an endpoint.
type Credit struct {
	Endpoint oleandervalve.EndpointID `cbor:"endpoint"`
	Class    oleandervalve.ClassName  `cbor:"class,omitempty"`
	Count    int                      `cbor:"count"`
	// ValidFor is how long the credits are valid after receipt.
	ValidFor time.Duration `cbor:"validForNs"`
}

// CreditReturn returns unused credits; it also responds to a CreditRevoke.
type CreditReturn struct {
	Endpoint oleandervalve.EndpointID `cbor:"endpoint"`
	Class    oleandervalve.ClassName  `cbor:"class,omitempty"`
	Count    int                      `cbor:"count"`
}

// CreditRevoke requests that an entry return unused credits.
type CreditRevoke struct {
	Endpoint oleandervalve.EndpointID `cbor:"endpoint"`
	Count    int                      `cbor:"count"`
}

// Request sends a caller's request to an endpoint of an agent.
type Request struct {
	ID       oleandervalve.RequestID   `cbor:"id"`
	Service  oleandervalve.ServiceName `cbor:"service"`
	Endpoint oleandervalve.EndpointID  `cbor:"endpoint"`
	Class    oleandervalve.ClassName   `cbor:"class"`
	Team     oleandervalve.TeamID      `cbor:"team,omitempty"`
	Caller   oleandervalve.CallerID    `cbor:"caller,omitempty"`
	// Remaining is the time left until the deadline, counted from receipt.
	Remaining  time.Duration `cbor:"remainingNs"`
	Idempotent bool          `cbor:"idempotent"`
	Method     string        `cbor:"method"`
	Path       string        `cbor:"path"`
	Header     http.Header   `cbor:"header,omitempty"`
	// Whole means that Inline is the whole body and no Body or End follows.
	Whole  bool   `cbor:"whole"`
	Inline []byte `cbor:"inline,omitempty"`
}

// Response starts the response to a request.
type Response struct {
	ID     oleandervalve.RequestID `cbor:"id"`
	Status int                     `cbor:"status"`
	Header http.Header             `cbor:"header,omitempty"`
	// Whole means that Inline is the whole body and no Body or End follows.
	Whole  bool   `cbor:"whole"`
	Inline []byte `cbor:"inline,omitempty"`
}

// Body is one chunk of a request's or a response's body.
type Body struct {
	ID   oleandervalve.RequestID `cbor:"id"`
	Data []byte                  `cbor:"data"`
}

// End marks the end of a body; the body is truncated if Length differs from the
// total size of the chunks.
type End struct {
	ID     oleandervalve.RequestID `cbor:"id"`
	Length int64                   `cbor:"length"`
	// Failed means that the sender failed to read the whole body.
	Failed bool `cbor:"failed,omitempty"`
}

// Window permits the sender of a body to send further bytes.
type Window struct {
	ID    oleandervalve.RequestID `cbor:"id"`
	Bytes int64                   `cbor:"bytes"`
}

// Refused confirms that a request did not run.
type Refused struct {
	ID     oleandervalve.RequestID `cbor:"id"`
	Reason oleandervalve.Reason    `cbor:"reason"`
	Remedy string                  `cbor:"remedy"`
}

// Failed responds to a request that may have run and has no complete response.
type Failed struct {
	ID     oleandervalve.RequestID `cbor:"id"`
	Reason oleandervalve.Reason    `cbor:"reason"`
	Remedy string                  `cbor:"remedy"`
}

// Cancel cancels a request.
type Cancel struct {
	ID oleandervalve.RequestID `cbor:"id"`
}

// Cancelled responds to a Cancel; Ran is false only if execution had not begun.
type Cancelled struct {
	ID  oleandervalve.RequestID `cbor:"id"`
	Ran bool                    `cbor:"ran"`
}

// ReasonPlannedStop means that the sender is about to stop.
const ReasonPlannedStop = oleandervalve.Reason("plannedStop")

// ReasonOperator means that an operator requested the drain.
const ReasonOperator = oleandervalve.Reason("operator")

// Drain announces a planned stop of the sender, or requests that an agent drain.
type Drain struct {
	Reason oleandervalve.Reason `cbor:"reason"`
	// Within is the time until the sender stops.
	Within time.Duration `cbor:"withinNs"`
}

// Type names of the messages.
const (
	typeHello        Type = "hello"
	typeWelcome      Type = "welcome"
	typeReject       Type = "reject"
	typeHeartbeat    Type = "heartbeat"
	typeHeartbeatAck Type = "heartbeatAck"
	typeEndpoints    Type = "endpoints"
	typeDemand       Type = "demand"
	typeCredit       Type = "credit"
	typeCreditReturn Type = "creditReturn"
	typeCreditRevoke Type = "creditRevoke"
	typeRequest      Type = "request"
	typeResponse     Type = "response"
	typeBody         Type = "body"
	typeEnd          Type = "end"
	typeWindow       Type = "window"
	typeRefused      Type = "refused"
	typeFailed       Type = "failed"
	typeCancel       Type = "cancel"
	typeCancelled    Type = "cancelled"
	typeDrain        Type = "drain"
)

// Type returns "hello".
func (*Hello) Type() Type { return typeHello }

// Type returns "welcome".
func (*Welcome) Type() Type { return typeWelcome }

// Type returns "reject".
func (*Reject) Type() Type { return typeReject }

// Type returns "heartbeat".
func (*Heartbeat) Type() Type { return typeHeartbeat }

// Type returns "heartbeatAck".
func (*HeartbeatAck) Type() Type { return typeHeartbeatAck }

// Type returns "endpoints".
func (*Endpoints) Type() Type { return typeEndpoints }

// Type returns "demand".
func (*Demand) Type() Type { return typeDemand }

// Type returns "credit".
func (*Credit) Type() Type { return typeCredit }

// Type returns "creditRevoke".
func (*CreditRevoke) Type() Type { return typeCreditRevoke }

// Type returns "creditReturn".
func (*CreditReturn) Type() Type { return typeCreditReturn }

// Type returns "request".
func (*Request) Type() Type { return typeRequest }

// Type returns "response".
func (*Response) Type() Type { return typeResponse }

// Type returns "body".
func (*Body) Type() Type { return typeBody }

// Type returns "end".
func (*End) Type() Type { return typeEnd }

// Type returns "window".
func (*Window) Type() Type { return typeWindow }

// Type returns "refused".
func (*Refused) Type() Type { return typeRefused }

// Type returns "failed".
func (*Failed) Type() Type { return typeFailed }

// Type returns "cancel".
func (*Cancel) Type() Type { return typeCancel }

// Type returns "cancelled".
func (*Cancelled) Type() Type { return typeCancelled }

// Type returns "drain".
func (*Drain) Type() Type { return typeDrain }

// newMessage returns an empty message of a type, or nil for an unknown type.
func newMessage(t Type) Message {
	switch t {
	case typeHello:
		return &Hello{}
	case typeWelcome:
		return &Welcome{}
	case typeReject:
		return &Reject{}
	case typeHeartbeat:
		return &Heartbeat{}
	case typeHeartbeatAck:
		return &HeartbeatAck{}
	case typeEndpoints:
		return &Endpoints{}
	case typeDemand:
		return &Demand{}
	case typeCredit:
		return &Credit{}
	case typeCreditRevoke:
		return &CreditRevoke{}
	case typeCreditReturn:
		return &CreditReturn{}
	case typeRequest:
		return &Request{}
	case typeResponse:
		return &Response{}
	case typeBody:
		return &Body{}
	case typeEnd:
		return &End{}
	case typeWindow:
		return &Window{}
	case typeRefused:
		return &Refused{}
	case typeFailed:
		return &Failed{}
	case typeCancel:
		return &Cancel{}
	case typeCancelled:
		return &Cancelled{}
	case typeDrain:
		return &Drain{}
	case typeKeyBegin:
		return &KeyBegin{}
	case typeKeyState:
		return &KeyState{}
	case typeKeyFinish:
		return &KeyFinish{}
	case typeKeyExport:
		return &KeyExport{}
	case typeKeyImport:
		return &KeyImport{}
	}
	if m := newConfigMessage(t); m != nil {
		return m
	}
	if m := newDispatchMessage(t); m != nil {
		return m
	}
	return newTaskMessage(t)
}
