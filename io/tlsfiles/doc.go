// Package tlsfiles configures mutual TLS between processes. Certificates come
// from files, which are reloaded when they change, or, in development mode, from
// a certificate authority that is generated in memory.
package tlsfiles
