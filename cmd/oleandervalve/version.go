package main

import (
	"fmt"
	"runtime"

	"oleandervalve/io/peer"
)

const version = "0.1.0"

type versionCommand struct{}

// Execute prints the version and what decides whether processes can talk to each other.
func (*versionCommand) Execute([]string) error {
	_, err := fmt.Printf("oleandervalve %s, peer protocol %d, %s\n", version, peer.ProtocolVersion, runtime.Version())
	return err
}
