// Package scaletest runs a deployment at a size that no operator has yet: real controllers as processes, one or several cells
// of them, each with its own state service, cloud, load balancer, users and thousands of workers in one process.
// It measures what each role costs, keeps the measurements as lines of JSON, and works out slopes and tables from them.
//
// The workers are hollow: they answer the controllers as real workers do and run nothing. All that surrounds the controllers
// is called the hollow side; a run whose hollow side was overloaded says nothing of the controllers.
//
// docs/ARCHITECTURE.md says how controllers, state service, cloud and workers work together.
package scaletest
