// Package callerhttp serves the HTTP API on which callers send requests to services.
package callerhttp
