// Package oleandervalve defines the identifiers, units, errors and outside
// interfaces shared by the scheduler's decisions (core) and protocols (io).
package oleandervalve
