package main

import (
	"fmt"
	"runtime"

	"oleandervalve/io/peer"
)

const version = "0.1.0"

type versionCommand struct{}

// Execute prints the version, the peer protocol version, which decides whether
// processes can communicate, and the Go version.
func (*versionCommand) Execute([]string) error {
	_, err := fmt.Printf("oleandervalve %s, peer protocol %d, %s\n", version, peer.ProtocolVersion, runtime.Version())
	return err
}
