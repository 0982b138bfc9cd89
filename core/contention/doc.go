// Package contention estimates how much best-effort tasks slow down
// latency-critical tasks, by pair of images. It learns from delayed samples of
// all executors and predicts the effect of one more best-effort task.
package contention
