//go:build !race

package job

// raceDepth is zero: the explorations go to their full depth.
const raceDepth = 0
