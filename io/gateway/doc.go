// Package gateway implements the entry process that serves callers. It follows the
// operators' configuration, forwards requests about jobs to the leading entry, and
// takes over leadership when no other entry leads.
package gateway
