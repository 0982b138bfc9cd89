// Package settings reads the YAML settings of a process. One table of fields
// drives validation, defaults, the printed settings and the reference page.
package settings
