// Package objecthttp is the HTTP client of the platform's object store.
package objecthttp
