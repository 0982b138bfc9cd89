// Package overload decides which waiting work goes first, and which new jobs are refused, while a
// fleet has too little capacity: bursts of several times the usual load, slow executors, or the
// loss of a part of the fleet. It orders work by the cost that its delay has for callers.
package overload
