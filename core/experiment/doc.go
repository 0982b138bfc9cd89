// Package experiment plays loads against the dispatcher on a fake clock and
// reports what callers get, for the product's policy and for baselines.
package experiment
