// Package scaletest measures controllers at sizes beyond those of any existing deployment. A run plays one or several
// cells, one per region. A cell has real controllers as processes of their own, and one process that simulates its state
// service, cloud, load balancer, users and thousands of workers. The package measures the resources that each role of a
// controller uses, stores the measurements as lines of JSON, and derives growth rates and tables from them.
//
// The workers are hollow: they answer the controllers as real workers do but run no tasks. The simulated part of a cell is
// called the hollow side. If the hollow side was overloaded, the measurements of the controllers are not valid.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package scaletest
