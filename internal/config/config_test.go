package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const validSettings = `
node_name = "n-0"
zone = "a"
public_addr = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
unknown = "ignored"
[[known]]
node_name = "n-1"
zone = "b"
address = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
nodes = 2
zones = ["a", "b"]
clock_off_ms = 100.0
[[deployment.teams]]
name = "red"
cpus = 4.0
[deployment.workers]
report_s = 2.5
lease_s = 16.0
cancel_s = 36.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 32.0
txn_ops = 12
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
[deployment.resources]
cpu = 0.1
mem_mb = 100.0
max_connections = 500
`

func TestParse(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"valid settings", "", "", ""},
		{"missing controller name", `node_name = "n-0"`, ``, "node_name"},
		{"duplicate controller name", `node_name = "n-1"`, `node_name = "n-0"`, "known[0].node_name"},
		{"address without port", `"10.0.0.1:8080"`, `"10.0.0.1"`, "public_addr"},
		{"port out of range", `"10.0.0.2:8081"`, `"10.0.0.2:99999"`, "known[0].address"},
		{"wrong type", `nodes = 2`, `nodes = "two"`, "deployment.nodes"},
		{"no teams", "[[deployment.teams]]\nname = \"red\"\ncpus = 4.0\n", "", "deployment.teams"},
		{"negative guarantee", `cpus = 4.0`, `cpus = -4.0`, "teams[0].cpus"},
		{"rate is NaN", `rps = 200.0`, `rps = nan`, "deployment.state.rps"},
		{"missing rate", `write_rps = 80.0`, ``, "deployment.state.write_rps"},
		{"malformed TOML", `[external]`, `[external`, "expected"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			settings, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			switch {
			case test.want == "" && (err != nil || settings.Deployment.Teams[0].Cpus != 4):
				t.Fatalf("valid settings rejected or decoded wrongly: %v", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "expected")):
				t.Fatalf("got error %v, want one that names %s and the expected value", err, test.want)
			case err != nil && strings.Contains(err.Error(), "\n"):
				t.Fatalf("error is longer than one line: %q", err)
			}
		})
	}
}

func TestFeatures(t *testing.T) {
	for _, test := range []struct {
		name, text string
		enabled    bool
		want       string // part of the error; "" for none
	}{
		{"empty file", "", false, ""},
		{"view enabled", "[view]\nenabled = true\n", true, ""},
		{"no readers", "[view]\nenabled = true\nreaders = 0\n", false, "view.readers"},
		{"unknown key", "[view]\nenable = true\n", false, "view.enable"},
		{"wrong type", "[view]\nenabled = \"yes\"\n", false, "line 2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "features.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			features, err := LoadFeatures(path)
			switch {
			case test.want == "" && (err != nil || features.View.Enabled != test.enabled || features.View.Readers != DefaultViewReaders):
				t.Errorf("%+v, %v", features, err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n")):
				t.Errorf("got error %v, want one line with the path and %q", err, test.want)
			}
		})
	}
	for _, test := range []struct {
		name, path string
		enabled    bool
	}{
		{"no file", "", false},
		{"deployed file", "../../deploy/features.toml", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if features, err := LoadFeatures(test.path); err != nil || features.View.Enabled != test.enabled {
				t.Errorf("%+v, %v", features, err)
			}
		})
	}
}

// TestErrorTypes checks that callers can get the typed errors, and their causes, with errors.As and
// errors.Is.
func TestErrorTypes(t *testing.T) {
	t.Run("missing field", func(t *testing.T) {
		_, err := Parse([]byte(strings.Replace(validSettings, `zone = "a"`, "", 1)))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != "zone" {
			t.Errorf("got %#v, want a FieldError for zone", err)
		}
	})
	t.Run("wrong type", func(t *testing.T) {
		_, err := Parse([]byte("zone = 1\n"))
		var position *PositionError
		var cause *toml.DecodeError
		if !errors.As(err, &position) || position.Field != "zone" || position.Line != 1 || !errors.As(err, &cause) {
			t.Errorf("got %#v, want a PositionError for zone at line 1", err)
		}
	})
	t.Run("error of another package", func(t *testing.T) {
		cause := errors.New("two\nlines")
		if err := TOMLError(cause); !errors.Is(err, cause) || err.Error() != "expected TOML: two lines" {
			t.Errorf("got %v", err)
		}
	})
}
