// Package demo runs the whole system with stand-ins in one process on
// loopback, drives work through it and reports what callers and the stand-ins saw.
package demo
