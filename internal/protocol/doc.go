// Package protocol defines the messages that a controller exchanges with users, workers, the cloud,
// the state service and other controllers, and validates the messages that it receives.
//
// The JSON names of the protocol differ from this program's terms. The struct tags and the constants of
// field names in this package map between them; the rest of the program uses the names of the Go types.
// The main terms, with the JSON name first:
//
//	host, hosts      machine, machines        crew       team
//	hull, hulls      machine type, types      shards     tasks (of a job or a machine)
//	berth, berths    zone, zones              try        attempt of a task
//	loaners          spot machines            kit        container image
//	watch            incarnation (session)    urgency    priority
//	tally            sequence number          awaits     dependencies
//	helm             fencing token            tenure     session lease
//	recallS          preemption notice        ledgerRev  revision of the state service
//
// Controllers exchange binary frames with one another, see [AppendFrame]. docs/ARCHITECTURE.md shows
// how the package relates to the others.
package protocol
