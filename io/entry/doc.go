// Package entry runs the entry process: it connects the request decisions to
// callers and agents.
package entry
