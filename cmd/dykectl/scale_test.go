package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dykeledge/internal/scaletest"
)

// smallProfile is a scale test profile of two regions, small enough for a test.
const smallProfile = `workers = 60
running_tasks = 300
starts_per_s = 40.0
jobs_per_day = 20000.0
teams = 20
failures_a_day = 4.0
replaced_a_day = 4.0
rack_workers = 3
changes_a_day = 60000.0

[[region]]
name = "large"
part = 0.6
zones = 2

[[region]]
name = "small"
part = 0.4
zones = 2
`

// TestScaleRun runs a scale test of two regions with real controllers while a machine group, a switch and a zone fail,
// controllers are ended, and teams' limits change. It fails if the command does: if a rule of the protocol is violated,
// a controller exits unexpectedly, or no task is started. No measured time decides the result.
func TestScaleRun(t *testing.T) {
	dir := t.TempDir()
	program, profile, out := filepath.Join(dir, "dykeledge"), filepath.Join(dir, "small.toml"), filepath.Join(dir, "points.jsonl")
	if raw, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "dykeledge/cmd/dykeledge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, raw)
	}
	if err := os.WriteFile(profile, []byte(smallProfile), 0o600); err != nil {
		t.Fatal(err)
	}
	dykectl := testProgram{t, filepath.Join(dir, "dykectl.toml")}
	text, errs, code := dykectl.run("scale", "run", "--controller", program, "--profile", profile, "--cut", "troubles", "--regions", "all", "--fraction", "1",
		"--warm-up", "8s", "--measure", "16s", "--out", out)
	if code != 0 {
		t.Fatalf("exit code %d\n%s\n%s", code, text, errs)
	}
	points, err := scaletest.ReadPoints(dir)
	if err != nil || len(points) != 2 {
		t.Fatalf("%d points, %v", len(points), err)
	}
	for _, point := range points {
		if len(point.Controllers) != 3 || point.StateKeys == 0 || point.WorkerOutBps == 0 || point.ChangesMade == 0 {
			t.Errorf("point lacks controllers, state keys, worker traffic or team changes: %+v", point)
		}
	}
	report, errs, code := dykectl.run("scale", "report", dir)
	if code != 0 || !strings.Contains(report, "| run | 1 | large |") || !strings.Contains(report, "| run | 1 | small |") {
		t.Errorf("exit code %d\n%s\n%s", code, report, errs)
	}
}

// TestScaleUsageErrors checks that invalid flags and arguments of the scale commands end with the exit code of a
// usage error and one line that names the cause.
func TestScaleUsageErrors(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("workers = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ args, want string }{
		{"scale run --cut none", "--cut"},
		{"scale run --regions some", "--regions"},
		{"scale run --fraction 3/2", "--fraction"},
		{"scale run --fraction x", "--fraction"},
		{"scale run --warm-up 0s", "--warm-up"},
		{"scale run --controller /nowhere", "/nowhere"},
		{"scale run --profile " + bad, "workers"},
		{"scale report " + dir, "*.jsonl"},
	} {
		t.Run(strings.ReplaceAll(test.args, dir, ""), func(t *testing.T) {
			dykectl := testProgram{t, filepath.Join(dir, "dykectl.toml")}
			if _, errs, code := dykectl.run(strings.Fields(test.args)...); code != exitUsage || !strings.Contains(errs, test.want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("exit code %d, %q, want %q", code, errs, test.want)
			}
		})
	}
}
