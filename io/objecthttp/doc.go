// Package objecthttp is the client of the platform's object store.
package objecthttp
