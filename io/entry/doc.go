// Package entry implements the entry process: it queues the calls of callers,
// assigns them to endpoints and exchanges messages with agents.
package entry
