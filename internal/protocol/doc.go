// Package protocol defines the messages that a controller exchanges with users, workers, the cloud,
// the state service and other controllers, and checks what comes from outside.
//
// The protocol's JSON names come from its theme (host, hull, berth, helm, crew, ...). They are mapped
// here, once, by the struct tags and the constants of field names; the rest of the program uses the
// field names of the Go types. The main terms:
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
// Controllers talk to one another in binary frames, see [AppendFrame]. docs/ARCHITECTURE.md shows how
// the package fits in with the others.
package protocol
