// Package settings loads and validates the YAML settings file of a process.
// Validation, defaults, the printed settings and the reference page are all
// derived from one table of fields.
package settings
