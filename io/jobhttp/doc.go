// Package jobhttp serves the HTTP API on which teams submit, watch and cancel jobs.
package jobhttp
