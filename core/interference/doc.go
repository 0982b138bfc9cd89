// Package interference learns how much kinds of tasks slow each other down on
// a shared worker, and decides which task to throttle or evict when a service is slow.
package interference
