// Command dykeledge is a controller of the cluster scheduler, and the operators' client of the
// controllers' administration API.
//
// With --config it runs as a controller until it is killed. Its other commands send requests to a
// running controller, check a settings file, or print the version. Exit codes: 0 success, 1 failure,
// 2 usage error.
//
// docs/ARCHITECTURE.md describes how controllers, state service, cloud and workers work together.
package main
