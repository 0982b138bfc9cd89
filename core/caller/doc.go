// Package caller implements the request queue of an entry. It decides which
// waiting request to serve next and which requests to refuse, and limits retries.
package caller
