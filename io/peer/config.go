package peer

import "oleandervalve/core/operator"

// ConfigDelta carries changed configuration objects from an entry to an agent.
type ConfigDelta struct{ operator.Delta }

// ConfigAck notifies an entry which configuration an agent has applied.
type ConfigAck struct{ operator.Ack }

// ConfigResync requests that an entry start, repeat or stop sending deltas.
type ConfigResync struct{ operator.Resync }

const (
	typeConfigDelta  Type = "configDelta"
	typeConfigAck    Type = "configAck"
	typeConfigResync Type = "configResync"
)

// Type returns "configDelta".
func (*ConfigDelta) Type() Type { return typeConfigDelta }

// Type returns "configAck".
func (*ConfigAck) Type() Type { return typeConfigAck }

// Type returns "configResync".
func (*ConfigResync) Type() Type { return typeConfigResync }

// newConfigMessage returns an empty message of a type, or nil for an unknown type.
func newConfigMessage(t Type) Message {
	switch t {
	case typeConfigDelta:
		return &ConfigDelta{}
	case typeConfigAck:
		return &ConfigAck{}
	case typeConfigResync:
		return &ConfigResync{}
	}
	return nil
}
