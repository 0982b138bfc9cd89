// Package process runs what every process has: logs, metrics, health, HTTP
// listeners with limits, and the planned stop on a signal.
package process
