package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `
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
		{"as documented", "", "", ""},
		{"no name", `node_name = "n-0"`, ``, "node_name"},
		{"name used twice", `node_name = "n-1"`, `node_name = "n-0"`, "known[0].node_name"},
		{"address without port", `"10.0.0.1:8080"`, `"10.0.0.1"`, "public_addr"},
		{"port beyond range", `"10.0.0.2:8081"`, `"10.0.0.2:99999"`, "known[0].address"},
		{"wrong type", `nodes = 2`, `nodes = "two"`, "deployment.nodes"},
		{"no teams", "[[deployment.teams]]\nname = \"red\"\ncpus = 4.0\n", "", "deployment.teams"},
		{"negative guarantee", `cpus = 4.0`, `cpus = -4.0`, "teams[0].cpus"},
		{"not a number", `rps = 200.0`, `rps = nan`, "deployment.state.rps"},
		{"missing rate", `write_rps = 80.0`, ``, "deployment.state.write_rps"},
		{"no TOML", `[external]`, `[external`, "expected"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
			switch {
			case c.want == "" && (err != nil || s.Deployment.Teams[0].Cpus != 4):
				t.Fatalf("refused: %v", err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "expected")):
				t.Fatalf("got %v, want %s and what was expected", err, c.want)
			case err != nil && strings.Contains(err.Error(), "\n"):
				t.Fatalf("more than one line: %q", err)
			}
		})
	}
}

func TestFeatures(t *testing.T) {
	for _, c := range []struct {
		text string
		on   bool
		want string
	}{
		{"", false, ""},
		{"[view]\nenabled = true\n", true, ""},
		{"[view]\nenabled = true\nreaders = 0\n", false, "view.readers"},
		{"[view]\nenable = true\n", false, "view.enable"},
		{"[view]\nenabled = \"yes\"\n", false, "line 2"},
	} {
		path := filepath.Join(t.TempDir(), "features.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := LoadFeatures(path)
		switch {
		case c.want == "" && (err != nil || f.View.Enabled != c.on || f.View.Readers != DefaultReaders):
			t.Errorf("%q: %+v, %v", c.text, f, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	if f, err := LoadFeatures(""); err != nil || f.View.Enabled {
		t.Errorf("without a file: %+v, %v", f, err)
	}
	if f, err := LoadFeatures("../../deploy/features.toml"); err != nil || !f.View.Enabled {
		t.Errorf("deploy/features.toml: %+v, %v", f, err)
	}
}
