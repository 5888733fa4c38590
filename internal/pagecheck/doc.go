// Package pagecheck holds tests only: they compare what the pages under docs say about the code with
// the sources, so that a rename or a changed log line fails a test instead of misleading whoever reads
// the pages during an incident.
package pagecheck
