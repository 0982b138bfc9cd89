// Package experiment simulates the dispatcher under generated loads on a simulated
// clock. It reports how many jobs end in time and what value they earn, for the
// default order of waiting work and for baselines.
package experiment
