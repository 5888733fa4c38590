// Command dykectl is the command-line client of dykeledge. It submits, lists and cancels jobs, shows
// the state of a cluster in a console or as tables, records histories and makes reports of them, runs
// load and scale tests, and runs a whole cluster on one machine.
//
// Exit codes: 0 success, 1 failure, 2 usage error. With --output json it prints JSON for scripts.
//
// docs/ARCHITECTURE.md lists the programs and packages; docs/dykectl.md describes the commands.
package main
