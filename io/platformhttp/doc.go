// Package platformhttp is the HTTP client of the platform that runs tasks on workers.
package platformhttp
