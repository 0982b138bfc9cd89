// Package peer implements the protocol between entries and agents: CBOR messages
// in WebSocket frames, with a versioned handshake and size limits on every frame.
package peer
