// Package standin holds small stand-ins for the platform and for endpoints,
// with faults that tests and the demonstration switch on.
package standin
