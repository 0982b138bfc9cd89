//go:build race

package job

// raceDepth is subtracted from the depth of the explorations under the race
// detector, which makes them ten times slower. It can't find races there, as the
// explorations start no goroutines.
const raceDepth = 2
