// Package commandtest is for the tests of the commands: it compares what a command prints with golden
// files in testdata/golden, and finds all commands by their help texts. Only tests import it.
//
// With the flag -update golden files are written in place of being compared; CI refuses that.
package commandtest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Invoke runs a command with arguments and returns what it prints and its exit code, as one text.
type Invoke func(t *testing.T, args ...string) string

// CheckGolden compares got with testdata/golden/name and fails the test at the first line that differs,
// or writes that file with -update.
func CheckGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		writeGolden(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i); gotLine != wantLine {
			t.Fatalf("%s, line %d:\n got: %s\nwant: %s", path, i+1, gotLine, wantLine)
		}
	}
}

// lineAt is a line of a text, or a remark that the text has ended before.
func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return lines[i]
}

// writeGolden writes a golden file; CI only ever compares.
func writeGolden(t *testing.T, path, text string) {
	t.Helper()
	if os.Getenv("CI") == "true" {
		t.Fatal("-update is refused in CI")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// CheckHelp compares the help of every command with a golden file of its own, in a subtest each, and the
// number of the commands with help-count.txt.
func CheckHelp(t *testing.T, invoke Invoke) {
	t.Helper()
	seen := 0
	for queue := [][]string{nil}; len(queue) > 0; queue = queue[1:] {
		path := queue[0]
		help := invoke(t, append(path, "--help")...)
		name := strings.Join(append([]string{"help"}, path...), "-") + ".txt"
		t.Run(name, func(t *testing.T) { CheckGolden(t, name, help) })
		for _, subcommand := range subcommands(help) {
			queue = append(queue, append(path[:len(path):len(path)], subcommand))
		}
		seen++
	}
	CheckGolden(t, "help-count.txt", fmt.Sprintf("commands: %d\n", seen))
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
			CheckGolden(t, "wrong-use-"+use.Name+".txt", invoke(t, use.Args...))
		})
	}
}
