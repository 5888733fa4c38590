package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// checkGolden compares got with testdata/golden/name, or writes that file with -update.
func checkGolden(t *testing.T, name, got string) {
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
		if g, w := lineAt(gotLines, i), lineAt(wantLines, i); g != w {
			t.Fatalf("%s, line %d:\n got: %s\nwant: %s", path, i+1, g, w)
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

// TestGoldenHelp pins the help of every command with its flags, defaults and usage.
func TestGoldenHelp(t *testing.T) {
	seen := 0
	for queue := [][]string{nil}; len(queue) > 0; queue = queue[1:] {
		path := queue[0]
		help := invoke(t, append(path, "--help")...)
		name := strings.Join(append([]string{"help"}, path...), "-") + ".txt"
		t.Run(name, func(t *testing.T) { checkGolden(t, name, help) })
		for _, sub := range subcommands(help) {
			queue = append(queue, append(path[:len(path):len(path)], sub))
		}
		seen++
	}
	checkGolden(t, "help-count.txt", fmt.Sprintf("commands: %d\n", seen))
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

// TestGoldenWrongUse pins exit codes and messages of wrong use, and the help of a hidden command.
func TestGoldenWrongUse(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{"unknown-command", []string{"fly"}},
		{"unknown-flag", []string{"--fly"}},
		{"unknown-output", []string{"status", "--output", "xml", "job-000001"}},
		{"unknown-level", []string{"version", "--log-level", "loud"}},
		{"no-configuration", []string{"status", "job-000001"}},
		{"no-context", []string{"config", "use"}},
		{"hidden-cell", []string{"scale", "cell", "--help"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkGolden(t, "wrong-use-"+c.name+".txt", invoke(t, c.args...))
		})
	}
}

// invoke runs the program and returns what it prints and its exit code.
func invoke(t *testing.T, args ...string) string {
	t.Helper()
	out, errs, code := prog{t, "missing.toml"}.run(args...)
	return fmt.Sprintf("%s%sexit code %d\n", out, errs, code)
}
