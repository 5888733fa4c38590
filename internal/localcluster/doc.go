// Package localcluster runs a cluster on one machine: the controllers as real processes, and
// around them, in this process, the state service, the cloud, the workers and the load
// balancer, which are the stand-ins of the tests in real time over HTTP on loopback ports.
//
// A Schedule of faults may be played on the cluster: crashes, cuts, outages, machines that die.
//
// docs/ARCHITECTURE.md says how controllers, state service, cloud and workers work together.
package localcluster
