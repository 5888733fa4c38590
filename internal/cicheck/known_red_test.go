package cicheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// moduleFiles is a module with a package for each way in which a test can end.
var moduleFiles = map[string]string{
	"go.mod": "module sample\n\ngo 1.26\n",
	"good/good_test.go": `package good

import "testing"

func TestPasses(t *testing.T) {}
`,
	"red/red_test.go": `package red

import "testing"

func TestFails(t *testing.T) { t.Error("not fixed yet") }

func TestGroup(t *testing.T) {
	t.Run("fails", func(t *testing.T) { t.Error("not fixed yet") })
	t.Run("passes", func(t *testing.T) {})
}
`,
	"red2/red2_test.go": `package red2

import "testing"

func TestFirst(t *testing.T)  { t.Error("not fixed yet") }
func TestSecond(t *testing.T) { t.Error("not fixed yet") }
`,
	"parent/parent_test.go": `package parent

import "testing"

// TestNeedsSecond fails when its second subtest does not run.
func TestNeedsSecond(t *testing.T) {
	ran := false
	t.Run("first", func(t *testing.T) {})
	t.Run("second", func(t *testing.T) { ran = true })
	if !ran {
		t.Error("the second subtest did not run")
	}
}
`,
	"prefix/prefix_test.go": `package prefix

import "testing"

func TestShort(t *testing.T)   { t.Error("not fixed yet") }
func TestShorter(t *testing.T) { t.Error("not fixed yet") }
`,
	"panics/panics_test.go": `package panics

import "testing"

func TestPanics(t *testing.T) { panic("unexpected") }
`,
	"exits/exits_test.go": `package exits

import (
	"os"
	"testing"
)

func TestExits(t *testing.T) { os.Exit(3) }
`,
	"blocks/blocks_test.go": `package blocks

import (
	"testing"
	"time"
)

func TestBlocks(t *testing.T) { time.Sleep(time.Hour) }
`,
	"broken/broken_test.go": `package broken

import "testing"

func TestBroken(t *testing.T) { undefined() }
`,
}

// sampleTimeout ends the test that blocks; the other tests of the module take milliseconds.
const sampleTimeout = "10s"

// The entries of the tests that fail, as KNOWN-RED.txt has them.
const (
	entryFails  = "red TestFails; go test -run TestFails ./red, seed 7; fails at once; #12\n"
	entryGroup  = "./red TestGroup/fails; go test -run TestGroup ./red, seed 8; one of two fails; 13\n"
	entryFirst  = "red2 TestFirst; go test ./red2, seed 1; fails at once; 14\n"
	entrySecond = "red2 TestSecond; go test ./red2, seed 2; fails at once; 15\n"
	allRed      = entryFails + entryGroup + entryFirst + entrySecond
)

// TestKnownRed: CI passes over exactly the failing tests that are listed, prints their entries, and fails for
// every entry that does not name a test that ends by failing.
func TestKnownRed(t *testing.T) {
	cases := []struct {
		name     string
		packages []string // beside go.mod
		entries  string
		passes   bool
		output   []string // texts that are printed
	}{
		{"no entries, all pass", []string{"good"}, "", true, []string{"ok"}},
		{"no entries, one fails", []string{"good", "red"}, "", false, []string{"--- FAIL: TestFails"}},
		{"all failing tests listed", []string{"good", "red", "red2"}, allRed, true, []string{
			"TestFails fails as known: fails at once (go test -run TestFails ./red, seed 7; issue 12)",
			"TestGroup/fails fails as known: one of two fails (go test -run TestGroup ./red, seed 8; issue 13)",
			"TestFirst fails as known", "TestSecond fails as known"}},
		{"a failing test is not listed", []string{"good", "red"}, entryFails, false, []string{"--- FAIL: TestGroup"}},
		{"a listed test passes", []string{"good"}, "good TestPasses; go test ./good, seed 3; failed once; 16\n", true,
			[]string{"TestPasses passes here; if its command passes too, remove its entry: failed once"}},
		{"a passing subtest does not excuse its sibling", []string{"red"},
			entryFails + "red TestGroup/passes; go test ./red; failed once; 13\n", false, []string{"--- FAIL: TestGroup/fails"}},
		{"a listed subtest passes whose parent fails without the others", []string{"parent"},
			"parent TestNeedsSecond/first; go test ./parent; failed once; 16\n", true, []string{"TestNeedsSecond/first passes here"}},
		{"the parent fails without a listed subtest", []string{"parent"},
			"parent TestNeedsSecond/second; go test ./parent; failed once; 16\n", false, []string{"--- FAIL: TestNeedsSecond"}},
		{"unknown test", []string{"good"}, "good TestMissing; go test ./good; fails; 17\n", false,
			[]string{"./good TestMissing does not exist or does not build"}},
		{"unknown package", []string{"good"}, "missing TestPasses; go test ./missing; fails; 17\n", false,
			[]string{"./missing TestPasses does not exist or does not build"}},
		{"test that panics", []string{"good", "panics"}, "panics TestPanics; go test ./panics; panics; 18\n", false,
			[]string{"TestPanics ends other than by a failed test"}},
		{"test that ends its process", []string{"good", "exits"}, "exits TestExits; go test ./exits; exits; 18\n", false,
			[]string{"TestExits ends other than by a failed test"}},
		{"test that times out", []string{"blocks"}, "blocks TestBlocks; go test ./blocks; blocks; 18\n", false,
			[]string{"TestBlocks ends other than by a failed test"}},
		{"test that does not build", []string{"good", "broken"}, "broken TestBroken; go test ./broken; fails; 19\n", false,
			[]string{"broken"}},
		{"entry without a command", []string{"good"}, "good TestPasses; failed once; 16\n", false, []string{"malformed line"}},
		{"entry without an issue", []string{"good"}, "good TestPasses; go test ./good; failed once\n", false, []string{"malformed line"}},
		{"entry with an empty field", []string{"good"}, "good TestPasses; go test ./good; ; 16\n", false, []string{"malformed line"}},
		{"entry that names no test", []string{"good"}, "good passes; go test ./good; failed once; 16\n", false, []string{"malformed line"}},
		{"entry that names a pattern", []string{"good"}, "good Test.*|x y; go test ./good; failed once; 16\n", false, []string{"malformed line"}},
		{"blank line", []string{"good"}, "good TestPasses; go test ./good; failed once; 16\n\n", false, []string{"malformed line"}},
		{"a listed name does not excuse a longer one", []string{"prefix"}, "prefix TestShort; go test ./prefix; fails; 20\n", false,
			[]string{"--- FAIL: TestShorter"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			output, err := runKnownRed(t, c.packages, c.entries)
			if passed := err == nil; passed != c.passes {
				t.Errorf("passed: %v, expected %v; output:\n%s", passed, c.passes, output)
			}
			for _, text := range c.output {
				if !strings.Contains(output, text) {
					t.Errorf("the output lacks %q:\n%s", text, output)
				}
			}
		})
	}
}

// runKnownRed runs the script in a new module that has the given packages and entries.
func runKnownRed(t *testing.T, packages []string, entries string) (string, error) {
	t.Helper()
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	module := t.TempDir()
	for name, text := range moduleFiles {
		if folder := filepath.Dir(name); folder == "." || slices.Contains(packages, folder) {
			writeFile(t, filepath.Join(module, name), text)
		}
	}
	if entries != "" {
		writeFile(t, filepath.Join(module, "KNOWN-RED.txt"), entries)
	}
	command := exec.CommandContext(t.Context(), "bash", script)
	command.Dir = module
	command.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=-timeout="+sampleTimeout)
	output, err := command.CombinedOutput()
	return string(output), err
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
