package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"dykeledge/internal/golden"
)

// TestGoldenSettings compares decoded settings and features files with golden files, by the keys in the
// files.
func TestGoldenSettings(t *testing.T) {
	for _, test := range []struct {
		name string
		read func() (any, error)
	}{
		{"every-key", func() (any, error) { return Load("testdata/every-key.toml") }},
		{"required-keys", func() (any, error) { return Parse([]byte(validSettings)) }},
		{"limits-to-come", func() (any, error) {
			settings, err := Load("testdata/every-key.toml")
			if err != nil {
				return nil, err
			}
			return settings.Deployment.State.Effective(), nil
		}},
		{"features-every-key", func() (any, error) { return LoadFeatures("testdata/features-every-key.toml") }},
		{"features-default", func() (any, error) { return LoadFeatures("") }},
		{"features-deployed", func() (any, error) { return LoadFeatures("../../deploy/features.toml") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			value, err := test.read()
			if err != nil {
				t.Fatal(err)
			}
			golden.CheckText(t, test.name+".txt", dump("", reflect.ValueOf(value)))
		})
	}
}

// TestGoldenEveryKey checks that every-key.toml sets every key to a value other than the zero value.
func TestGoldenEveryKey(t *testing.T) {
	settings, err := Load("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(dump("", reflect.ValueOf(settings)), "\n") {
		if strings.HasSuffix(line, " = 0") || strings.HasSuffix(line, " = \"\"") || strings.HasSuffix(line, " = none") {
			t.Errorf("every-key.toml does not set a key: %s", line)
		}
	}
}

// TestGoldenRefusals compares the error messages for missing and invalid settings with a golden file.
func TestGoldenRefusals(t *testing.T) {
	raw, err := os.ReadFile("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	var refusals strings.Builder
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		key, _, found := strings.Cut(line, " = ")
		if !found {
			continue
		}
		for _, text := range []string{"", key + " = -1", key + " = true", key + " = nan"} {
			changed := slices.Clone(lines)
			changed[i] = text
			_, err := Parse([]byte(strings.Join(changed, "\n")))
			fmt.Fprintf(&refusals, "%s -> %q: %v\n", line, text, withoutGoNames(err))
		}
	}
	golden.CheckText(t, "refusals.txt", refusals.String())
}

// goName matches the Go field name in an error message of the TOML library.
var goName = regexp.MustCompile(`struct field \S+ of type`)

// withoutGoNames returns an error's message without Go field names, which may change.
func withoutGoNames(err error) string {
	return goName.ReplaceAllString(fmt.Sprint(err), "struct field ... of type")
}

// dump formats a value with one line per key, named as in the file.
func dump(key string, value reflect.Value) string {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return key + " = none\n"
		}
		return dump(key, value.Elem())
	case reflect.Struct:
		var text strings.Builder
		for i := range value.NumField() {
			name := strings.TrimPrefix(key+"."+value.Type().Field(i).Tag.Get("toml"), ".")
			text.WriteString(dump(name, value.Field(i)))
		}
		return text.String()
	case reflect.Slice:
		var text strings.Builder
		fmt.Fprintf(&text, "%s: %d entries\n", key, value.Len())
		for i := range value.Len() {
			text.WriteString(dump(fmt.Sprintf("%s[%d]", key, i), value.Index(i)))
		}
		return text.String()
	case reflect.String:
		return fmt.Sprintf("%s = %q\n", key, value.String())
	}
	return fmt.Sprintf("%s = %v\n", key, value.Interface())
}
