package main

import (
	"os/exec"
	"strings"
	"testing"
)

// clientOnlyPackages are parts of the import paths of what the controller must not link.
var clientOnlyPackages = []string{"charmbracelet", "gonum.org", "HdrHistogram", "html/template",
	"dykeledge/internal/client", "dykeledge/internal/console", "dykeledge/internal/contexts", "dykeledge/internal/loadgen",
	"dykeledge/internal/localcluster", "dykeledge/internal/report", "dykeledge/internal/scaletest", "dykeledge/internal/simulator",
	"dykeledge/internal/viewclient"}

// TestControllerLinksNoClientPackages: the controller's start and size are charged to small machines, so what only
// people's tools need is not linked into it.
func TestControllerLinksNoClientPackages(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "dykeledge/cmd/dykeledge").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dependencies := strings.Fields(string(out))
	if len(dependencies) < 100 {
		t.Fatalf("only %d packages are listed", len(dependencies))
	}
	for _, dependency := range dependencies {
		for _, unwanted := range clientOnlyPackages {
			if strings.Contains(dependency, unwanted) {
				t.Errorf("the controller links %s", dependency)
			}
		}
	}
}
