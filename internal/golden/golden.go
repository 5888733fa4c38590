// Package golden compares the output of tests with golden files in testdata/golden of the package under test. With
// the flag -update the files are written instead, except in CI, where the test fails. Only tests import it.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them; refused in CI")

// Read returns the content of testdata/golden/name, and ends the test if it can't be read.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// CheckBytes compares got with testdata/golden/name, or writes that file with -update.
func CheckBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
		return
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", path(name), got, want)
	}
}

// CheckText compares got with testdata/golden/name line by line and ends the test at the first difference, or
// writes that file with -update.
func CheckText(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		write(t, name, []byte(got))
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(Read(t, name)), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i); gotLine != wantLine {
			t.Fatalf("%s, line %d:\n got: %s\nwant: %s", path(name), i+1, gotLine, wantLine)
		}
	}
}

// path returns the path of a golden file, relative to the directory of the package under test.
func path(name string) string { return filepath.Join("testdata", "golden", name) }

// lineAt returns line i, or a placeholder if the text has fewer lines.
func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return lines[i]
}

// write writes a golden file. In CI it ends the test instead.
func write(t *testing.T, name string, content []byte) {
	t.Helper()
	if os.Getenv("CI") == "true" {
		t.Fatal("golden files are not written in CI")
	}
	if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path(name), content, 0o644); err != nil {
		t.Fatal(err)
	}
}
