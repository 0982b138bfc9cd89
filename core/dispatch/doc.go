// Package dispatch decides which task runs on which executor. A Dispatcher is the state
// machine of the leading entry: it handles submissions, reports from agents and results of
// commits, and returns actions for its process to perform. It does no I/O and has no clock
// of its own: callers pass in the time.
package dispatch
