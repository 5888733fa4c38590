// Package autoscale decides which machines to scale out and how much capacity is surplus. It compares the
// demand of the open work with the existing machines and the offers of the cloud.
//
// All decisions depend on their input alone. Nothing here reads a clock or performs I/O. The leader
// computes the demands, requests the machines and scales in machines that remain surplus.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package autoscale
