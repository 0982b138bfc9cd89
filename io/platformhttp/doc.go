// Package platformhttp is the client of the platform that runs tasks on workers.
package platformhttp
