package main

import (
	"os/exec"
	"strings"
	"testing"
)

// clientOnlyPackages lists parts of the import paths of packages that the controller must not link.
var clientOnlyPackages = []string{"charmbracelet", "gonum.org", "HdrHistogram", "html/template",
	"dykeledge/internal/client", "dykeledge/internal/console", "dykeledge/internal/contexts", "dykeledge/internal/loadgen",
	"dykeledge/internal/localcluster", "dykeledge/internal/report", "dykeledge/internal/scaletest", "dykeledge/internal/simulator",
	"dykeledge/internal/viewclient"}

// TestControllerLinksNoClientPackages checks that packages which only dykectl or tests need are not linked into
// the controller. Controllers run on small machines, where start time and program size count.
func TestControllerLinksNoClientPackages(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "dykeledge/cmd/dykeledge").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dependencies := strings.Fields(string(out))
	if len(dependencies) < 100 {
		t.Fatalf("go list returned %d packages, want at least 100", len(dependencies))
	}
	for _, dependency := range dependencies {
		for _, unwanted := range clientOnlyPackages {
			if strings.Contains(dependency, unwanted) {
				t.Errorf("the controller links %s, which only clients or tests may use", dependency)
			}
		}
	}
}
