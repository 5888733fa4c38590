// Package commandtest is for the tests of the commands: it compares what a command prints with golden
// files, and finds all commands by their help texts. Only tests import it.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package commandtest

import (
	"fmt"
	"strings"
	"testing"

	"dykeledge/internal/golden"
)

// Invoke runs a command with arguments and returns what it prints and its exit code, as one text.
type Invoke func(t *testing.T, args ...string) string

// CheckHelp compares the help of every command with a golden file of its own, in a subtest each, and the
// number of the commands with help-count.txt.
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

// subcommands are the commands that a help text lists. Those that the command library adds are left out.
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

// WrongUse is a wrong use of a command.
type WrongUse struct {
	Name string // of the subtest, and in the name of its golden file
	Args []string
}

// CheckWrongUse compares messages and exit codes of wrong uses with golden files, in a subtest each.
func CheckWrongUse(t *testing.T, invoke Invoke, uses []WrongUse) {
	t.Helper()
	for _, use := range uses {
		t.Run(use.Name, func(t *testing.T) {
			golden.CheckText(t, "wrong-use-"+use.Name+".txt", invoke(t, use.Args...))
		})
	}
}
