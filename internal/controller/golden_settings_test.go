package controller

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"dykeledge/internal/golden"
	"dykeledge/internal/storage"
)

// TestGoldenSettings decodes the operators' settings as a released version stored them in the state service,
// and checks that encoding them again gives the same bytes.
func TestGoldenSettings(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", "settings.any.json"))
	if err != nil {
		t.Fatal(err)
	}
	var settings OperatorSettings
	if err := json.Unmarshal(raw, &settings); err != nil {
		t.Fatal(err)
	}
	if settings.Alpha != 0.25 || settings.RebalanceIntervalS != 1.5 || settings.LogLevel != "debug" {
		t.Errorf("settings decoded as %+v, want alpha 0.25, interval 1.5 s and log level debug", settings)
	}
	golden.CheckText(t, "settings.any.json", string(storage.Encode(settings)))
}
