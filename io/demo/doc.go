// Package demo runs the whole system and stand-ins of the external systems in
// one process on loopback, generates load and reports what callers and the
// stand-ins observed.
package demo
