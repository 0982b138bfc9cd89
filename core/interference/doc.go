// Package interference estimates how much tasks of different kinds slow each
// other down on a shared worker, and decides which task to throttle or evict when
// a latency-critical task is too slow.
package interference
