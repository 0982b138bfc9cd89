// Package endpointhttp implements the HTTP communication with endpoints: it
// receives their announcements and sends them requests.
package endpointhttp
