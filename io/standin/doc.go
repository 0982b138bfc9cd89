// Package standin implements small in-process substitutes for the external
// systems (table, object store, worker platform) and for endpoints. Tests and
// the demonstration can inject faults into them.
package standin
