// Package process provides what every process of the system needs: logging,
// metrics, health checks, HTTP listeners with limits, and the planned stop on a
// signal.
package process
