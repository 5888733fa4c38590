// Package autoscale decides which machines to scale out and how many are surplus, by comparing the
// demand of the open work with the machines there are and the offers of the cloud.
//
// All decisions are functions of their input. Nothing here reads a clock or performs I/O. The leader
// sums up the demands, asks for the machines and scales in what stays surplus.
//
// See docs/ARCHITECTURE.md for where the package stands among the others.
package autoscale
