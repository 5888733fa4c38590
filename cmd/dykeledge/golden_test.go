package main

import (
	"fmt"
	"testing"

	"dykeledge/internal/commandtest"
)

// TestGoldenHelp compares the help of every command, with its flags, defaults and usage, with golden files.
func TestGoldenHelp(t *testing.T) {
	commandtest.CheckHelp(t, invoke)
}

// TestGoldenUsageErrors compares the exit codes and messages of usage errors with golden files.
func TestGoldenUsageErrors(t *testing.T) {
	commandtest.CheckWrongUse(t, invoke, []commandtest.WrongUse{
		{Name: "unknown-command", Args: []string{"fly"}},
		{Name: "unknown-flag", Args: []string{"--fly"}},
		{Name: "no-settings"},
		{Name: "missing-settings", Args: []string{"check", "missing.toml"}},
		{Name: "no-node", Args: []string{"jobs"}},
		{Name: "unknown-output", Args: []string{"jobs", "--node", "127.0.0.1:1", "--output", "xml"}},
		{Name: "no-value", Args: []string{"settings", "set", "alpha", "--node", "127.0.0.1:1"}},
		{Name: "no-other-cell", Args: []string{"teams", "move", "red", "--node", "127.0.0.1:1"}},
	})
}

// invoke runs the program and returns its output and exit code as one text.
func invoke(t *testing.T, args ...string) string {
	t.Helper()
	out, errs, code := runProgram(t, args...)
	return fmt.Sprintf("%s%sexit code %d\n", out, errs, code)
}
