// Package report records the read model over time and makes a report of it: a Recorder writes a history,
// Read reads it, Make computes the figures and Report.Write writes them as an HTML page and as JSON.
//
// See docs/ARCHITECTURE.md for how the read model gets from the controllers to its readers.
package report
