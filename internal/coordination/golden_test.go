package coordination

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"dykeledge/internal/storage"
)

var update = flag.Bool("update", false, "write the golden files anew; refused in CI")

// TestGoldenSettings reads the operators' settings as a landed version wrote them into the
// state service, and writes them again: the same bytes.
func TestGoldenSettings(t *testing.T) {
	path := filepath.Join("testdata", "golden", "settings.any.json")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var settings OperatorSettings
	if err := json.Unmarshal(want, &settings); err != nil {
		t.Fatal(err)
	}
	if settings.Alpha != 0.25 || settings.MoveEveryS != 1.5 || settings.LogLevel != "debug" {
		t.Errorf("read as %+v", settings)
	}
	got := storage.Encode(settings)
	if *update {
		if os.Getenv("CI") == "true" {
			t.Fatal("golden files are not written in CI")
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(got, want) {
		t.Errorf("written as\n%s\nnot\n%s", got, want)
	}
}
