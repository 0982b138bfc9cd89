// Package pacing controls the speed limit of best-effort tasks that are
// co-located with latency-critical tasks on one executor, so that the
// latency-critical tasks meet their latency targets.
package pacing
