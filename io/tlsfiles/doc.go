// Package tlsfiles configures mutual TLS between processes from certificate
// files, which it reloads when they change, or from an authority that it
// generates in memory for the development mode.
package tlsfiles
