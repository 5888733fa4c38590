// Command dykectl is the people's side of dykeledge: users' and operators' commands, a console,
// reports, scale tests, and a whole cluster on one machine.
//
// Exit codes: 0 done, 1 failed, 2 wrong use. What it prints for scripts is JSON (--output json).
//
// docs/ARCHITECTURE.md says which programs and packages there are, docs/dykectl.md how it is used.
package main
