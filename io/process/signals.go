package process

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a channel that receives a value for each SIGTERM or SIGINT, up
// to two that have not been read yet.
func Signals() <-chan struct{} {
	received := make(chan os.Signal, 2)
	notifications := make(chan struct{}, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range received {
			select {
			case notifications <- struct{}{}:
			default:
			}
		}
	}()
	return notifications
}

// Hangups returns a channel that receives a value for SIGHUP, which does not end the process any
// more.
func Hangups() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}
