package config

import (
	"fmt"
	"os"
)

// Features switches on what a deployment needs beyond the protocol. Without a file all of it
// is off, and costs nothing.
type Features struct {
	View ViewFeature `toml:"view"`
}

// ViewFeature is the read model for console, report and scripts.
type ViewFeature struct {
	Enabled bool `toml:"enabled"`
	Readers int  `toml:"readers"` // requests served at a time, from 1 to 64
}

// DefaultReaders is how many requests for the view are served at a time unless the file says
// otherwise: enough for the consoles of a duty room and a report.
const DefaultReaders = 16

// maxReaders bounds the memory that readers of the view take.
const maxReaders = 64

// LoadFeatures reads and checks a features file; "" switches everything off. Its errors fit on
// one line and name file, field and what was expected. A name that is not known is an error:
// a switch that does nothing would be taken for one that works.
func LoadFeatures(path string) (*Features, error) {
	features := &Features{View: ViewFeature{Readers: DefaultReaders}}
	if path == "" {
		return features, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features %s: expected a readable file: %w", path, err)
	}
	if err := Strict(raw, features); err != nil {
		return nil, fmt.Errorf("features %s: %w", path, err)
	}
	if features.View.Readers < 1 || features.View.Readers > maxReaders {
		expected := fmt.Sprintf("a count from 1 to %d", maxReaders)
		return nil, fmt.Errorf("features %s: %w", path, &FieldError{"view.readers", expected})
	}
	return features, nil
}
