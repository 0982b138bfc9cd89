// Package endpointhttp speaks HTTP with endpoints: it takes their
// announcements and sends them requests.
package endpointhttp
