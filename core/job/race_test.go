//go:build race

package job

// raceDepth shortens the explorations under the race detector, which makes
// them ten times slower and can find nothing in them, as they use no goroutines.
const raceDepth = 2
