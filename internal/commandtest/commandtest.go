// Package commandtest helps to test command-line programs: it compares what a command prints with golden files,
// and finds all subcommands from the help texts. Only tests import it.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package commandtest

import (
	"fmt"
	"strings"
	"testing"

	"dykeledge/internal/golden"
)

// Invoke runs a command with args and returns its output and exit code as one text.
type Invoke func(t *testing.T, args ...string) string

// CheckHelp compares the help text of each command with the command's own golden file, in a subtest per command,
// and the number of commands with help-count.txt.
func CheckHelp(t *testing.T, invoke Invoke) {
	t.Helper()
	seen := 0
	for queue := [][]string{nil}; len(queue) > 0; queue = queue[1:] {
		path := queue[0]
		help := invoke(t, append(path, "--help")...)
		name := strings.Join(append([]string{"help"}, path...), "-") + ".txt"
		t.Run(name, func(t *testing.T) { golden.CheckText(t, name, help) })
		for _, subcommand := range subcommands(help) {
			queue = append(queue, append(path[:len(path):len(path)], subcommand))
		}
		seen++
	}
	golden.CheckText(t, "help-count.txt", fmt.Sprintf("commands: %d\n", seen))
}

// subcommands returns the subcommands that a help text lists, without help and completion, which the command library
// adds.
func subcommands(help string) []string {
	var names []string
	_, list, _ := strings.Cut(help, "Available Commands:\n")
	for _, line := range strings.Split(list, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			break
		}
		if fields[0] != "help" && fields[0] != "completion" {
			names = append(names, fields[0])
		}
	}
	return names
}

// WrongUse is an invocation of a command with invalid arguments.
type WrongUse struct {
	Name string // name of the subtest, also part of the name of its golden file
	Args []string
}

// CheckWrongUse compares the output and exit code of each invocation with a golden file, in a subtest per invocation.
func CheckWrongUse(t *testing.T, invoke Invoke, uses []WrongUse) {
	t.Helper()
	for _, use := range uses {
		t.Run(use.Name, func(t *testing.T) {
			golden.CheckText(t, "wrong-use-"+use.Name+".txt", invoke(t, use.Args...))
		})
	}
}
