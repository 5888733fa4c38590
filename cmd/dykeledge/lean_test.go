package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestLean: the controller's start and size are charged to small machines, so what only
// people's tools need is not linked into it.
func TestLean(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "dykeledge/cmd/dykeledge").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	deps := strings.Fields(string(out))
	if len(deps) < 100 {
		t.Fatalf("only %d packages are listed", len(deps))
	}
	for _, d := range deps {
		for _, no := range []string{"charmbracelet", "gonum.org", "HdrHistogram", "html/template", "dykeledge/internal/simulator", "dykeledge/internal/console",
			"dykeledge/internal/viewer", "dykeledge/internal/report", "dykeledge/internal/emulator", "dykeledge/internal/load", "dykeledge/internal/client",
			"dykeledge/internal/contexts"} {
			if strings.Contains(d, no) {
				t.Errorf("the controller links %s", d)
			}
		}
	}
}
