//go:build !race

package job

// raceDepth is zero without the race detector: the explorations run to full depth.
const raceDepth = 0
