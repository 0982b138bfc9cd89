package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a path to an address that can be cut for a while.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cutEnd time.Time
	// retransmitAt is when the network delivers what was sent during the cut. TCP repeats data at
	// doubling intervals, so that is some time after the end of the cut.
	retransmitAt time.Time
}

// newLink returns a link to the target, and listens for connections.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut cuts the link. Data that is sent meanwhile arrives at the time of a retransmission.
func (k *link) cut(d, retransmit time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.cutEnd, k.retransmitAt = now.Add(d), now.Add(retransmit)
}

// wait waits until data that is sent now arrives.
func (k *link) wait() {
	k.mu.Lock()
	now, cutEnd, at := time.Now(), k.cutEnd, k.retransmitAt
	k.mu.Unlock()
	if now.Before(cutEnd) {
		time.Sleep(time.Until(at))
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c.(*net.TCPConn)) //nolint:forcetypeassert // the network is TCP
	}
}

// forward copies one connection in both directions. The sender may have closed it, in order, before
// its data arrives.
func (k *link) forward(from *net.TCPConn) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	var to net.Conn
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.wait()
			if to == nil {
				var dialErr error
				if to, dialErr = net.Dial("tcp", k.target); dialErr != nil {
					return
				}
				defer func(to net.Conn) { _ = to.Close() }(to)
				go func(to net.Conn) {
					_, _ = io.Copy(from, to) // ends when either side closes
					_ = from.CloseWrite()
				}(to)
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			time.Sleep(time.Second) // lets the receiver answer before the connection is closed
			return
		}
	}
}
