// Package measure holds the benchmarks behind docs/CAPACITY.md: sizes of
// messages and rows, memory and processor time of links, waiting requests and
// owners of tasks, and the cost of one agent beside several entries.
package measure
