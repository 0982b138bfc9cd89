// Package oleandervalve defines the identifiers, units and errors that the decision
// logic (core) and the network and process code (io) share, and the interfaces to
// external services.
package oleandervalve
