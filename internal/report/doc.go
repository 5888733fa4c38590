// Package report records what the read model shows over time, and makes a page of it: a Recorder
// writes a history, Read reads it, Make works out the figures and Report.Write draws them.
//
// docs/ARCHITECTURE.md says how the read model gets from the controllers to those who read it.
package report
