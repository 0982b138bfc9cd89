// Package peer speaks the protocol between entries and agents: CBOR messages
// in WebSocket frames, with a versioned handshake and limits on every frame.
package peer
