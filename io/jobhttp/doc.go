// Package jobhttp serves the HTTP API with which teams submit, query and cancel jobs.
package jobhttp
