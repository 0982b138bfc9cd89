// Package quarantine distinguishes faulty workers from faulty jobs by where
// tasks fail, and decides when either may be tried again.
package quarantine
