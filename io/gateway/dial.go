package gateway

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// isConnectionRefused reports whether a dial failed because no process listens at the
// address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
