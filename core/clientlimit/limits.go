package clientlimit

import "oleandervalve"

const (
	// DefaultMemory is the memory of an instance whose settings don't name it.
	DefaultMemory = 256 << 20
	// DefaultDescriptors is the limit of descriptors of a process whose limit isn't known.
	DefaultDescriptors = 4096
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// budgetShare is the share of the memory, one part in so many, that the budget of requests
	// in flight has. The runtime's heap grows to about twice what is in use.
	budgetShare = 8
	// connectionShare is the share of the memory, one part in so many, for connections.
	connectionShare = 4
	// ConnectionBytes is the memory of a connection without its share of the budget: stacks,
	// the server's buffers, and the first FreeHeaderBytes and FreeBodyBytes of its request.
	ConnectionBytes = 32 << 10
	// FreeHeaderBytes of the header of each request don't count against the budget. With
	// FreeBodyBytes they cover ordinary requests, so that these are served while the budget is
	// exhausted.
	FreeHeaderBytes = 1 << 10
	// FreeBodyBytes of the body of each request don't count against the budget.
	FreeBodyBytes = 4 << 10
	// HeaderWeight is the memory that a byte of header takes at most once it is parsed: the
	// shortest fields have 5 bytes and take an entry of a map.
	HeaderWeight = 16
	// HandshakeBytes is what a TLS handshake with a chain of certificates takes at most. They
	// count once, so that many agents can connect at the same time.
	HandshakeBytes = 16 << 10
	// minConnections is the limit of a listener in a process with hardly any memory or
	// descriptors.
	minConnections = 8
)

// Limits are the limits of a process on its clients.
type Limits struct {
	// Budget is the memory that requests in flight share.
	Budget oleandervalve.Bytes
	// Connections is the limit of a listener for callers or announcements, Peers that of one for peers,
	// and OtherConnections that of any other listener. Together they leave descriptors for calls to
	// peers and the table.
	Connections      int
	Peers            int
	OtherConnections int
}

// HeaderCharge returns what n bytes count for that have arrived on a connection before the header
// of a request was complete. With a handshake some of them may belong to it.
func HeaderCharge(n oleandervalve.Bytes, handshake bool) oleandervalve.Bytes {
	n = max(0, n-FreeHeaderBytes)
	once := oleandervalve.Bytes(0)
	if handshake {
		once = min(n, HandshakeBytes)
	}
	return once + (n-once)*HeaderWeight
}

// LimitsFor derives the limits from the memory of the instance and the number of descriptors
// that the process may open.
func LimitsFor(memory oleandervalve.Bytes, descriptors int) Limits {
	total := min(int(memory/connectionShare/ConnectionBytes), (descriptors-reservedDescriptors)*5/8)
	return Limits{
		Budget: memory / budgetShare,
		// A leader has a connection from each agent and entry: 755 at the design size, also in an
		// instance of 184 MB.
		Connections: max(minConnections, total/2), Peers: max(minConnections, total*3/4), OtherConnections: max(minConnections, total/16),
	}
}
