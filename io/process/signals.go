package process

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a channel that gets a value for each SIGTERM or SIGINT.
func Signals() <-chan struct{} {
	in := make(chan os.Signal, 2)
	out := make(chan struct{}, 2)
	signal.Notify(in, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range in {
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}
