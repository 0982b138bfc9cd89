// Package measure contains the benchmarks behind docs/CAPACITY.md: sizes of
// messages and rows, memory and CPU time of connections, waiting requests and
// task owners, and the cost of one agent that is connected to several entries.
package measure
