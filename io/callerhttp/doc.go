// Package callerhttp implements the HTTP API through which callers send requests to services.
package callerhttp
