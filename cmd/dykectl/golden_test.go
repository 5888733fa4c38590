package main

import (
	"fmt"
	"testing"

	"dykeledge/internal/commandtest"
)

// TestGoldenHelp pins the help of every command with its flags, defaults and usage.
func TestGoldenHelp(t *testing.T) {
	commandtest.CheckHelp(t, invoke)
}

// TestGoldenUsageErrors pins exit codes and messages of wrong use, and the help of a hidden command.
func TestGoldenUsageErrors(t *testing.T) {
	commandtest.CheckWrongUse(t, invoke, []commandtest.WrongUse{
		{Name: "unknown-command", Args: []string{"fly"}},
		{Name: "unknown-flag", Args: []string{"--fly"}},
		{Name: "unknown-output", Args: []string{"status", "--output", "xml", "job-000001"}},
		{Name: "unknown-level", Args: []string{"version", "--log-level", "loud"}},
		{Name: "no-configuration", Args: []string{"status", "job-000001"}},
		{Name: "no-context", Args: []string{"config", "use"}},
		{Name: "hidden-cell", Args: []string{"scale", "cell", "--help"}},
	})
}

// invoke runs the program and returns what it prints and its exit code.
func invoke(t *testing.T, args ...string) string {
	t.Helper()
	out, errs, code := testProgram{t, "missing.toml"}.run(args...)
	return fmt.Sprintf("%s%sexit code %d\n", out, errs, code)
}
