// Package localcluster runs a cluster on one machine. The controllers are real processes. The state service, the
// cloud, the workers and the load balancer are the simulated ones of the tests (package simulator); they run in this
// process, in real time, and serve HTTP on loopback ports.
//
// A Schedule injects faults into the cluster: crashes, network partitions, outages and machine failures.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package localcluster
