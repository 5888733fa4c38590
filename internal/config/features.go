package config

import (
	"fmt"
	"os"
)

// Features enables the optional features of a deployment, those beyond the protocol. Without a features
// file all of them are off and use no resources.
type Features struct {
	View ViewFeature `toml:"view"`
}

// ViewFeature configures the read model, which the console, reports and scripts use.
type ViewFeature struct {
	Enabled bool `toml:"enabled"`
	Readers int  `toml:"readers"` // requests served at the same time, from 1 to 64
}

// DefaultViewReaders is the default number of view requests served at the same time. It is enough for the
// consoles of all operators on duty and one report.
const DefaultViewReaders = 16

// maxViewReaders limits the memory that concurrent view requests use.
const maxViewReaders = 64

// LoadFeatures reads and validates a features file. If path is "", all features are off. Its errors are
// one line long and name the file, the field and the expected value. An unknown key is an error, since
// a misspelt switch would otherwise be ignored silently.
func LoadFeatures(path string) (*Features, error) {
	features := &Features{View: ViewFeature{Readers: DefaultViewReaders}}
	if path == "" {
		return features, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features %s: expected a readable file: %w", path, err)
	}
	if err := DecodeStrict(raw, features); err != nil {
		return nil, fmt.Errorf("features %s: %w", path, err)
	}
	if features.View.Readers < 1 || features.View.Readers > maxViewReaders {
		expected := fmt.Sprintf("a count from 1 to %d", maxViewReaders)
		return nil, fmt.Errorf("features %s: %w", path, &FieldError{"view.readers", expected})
	}
	return features, nil
}
