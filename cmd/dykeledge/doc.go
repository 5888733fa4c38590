// Command dykeledge is a controller of the cluster scheduler, and the operators' client of the
// controllers' administration API.
//
// With --config it runs as a controller until it is killed. Its other commands ask a running
// controller, or check a settings file, and end. Exit codes: 0 done, 1 failed, 2 wrong use.
//
// docs/ARCHITECTURE.md says how controllers, state service, cloud and workers work together.
package main
