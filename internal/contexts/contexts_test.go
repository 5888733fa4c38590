package contexts

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

func TestLoadAndChange(t *testing.T) {
	good := "current = \"a\"\n[contexts.a]\nusers = \"10.0.0.1:80\"\nnodes = [\"10.0.0.1:81\"]\n"
	for _, test := range []struct{ text, want string }{
		{good, ""},
		{"", ""},
		{strings.Replace(good, "\"a\"", "\"b\"", 1), "field current"},
		{strings.Replace(good, "10.0.0.1:80\"", "10.0.0.1\"", 1), "contexts.a.users"},
		{strings.Replace(good, ":81", ":99999", 1), "contexts.a.nodes[0]"},
		{strings.Replace(good, "nodes", "node", 1), "contexts.a.node"},
		{good + "uploads = \"x\"\n", "contexts.a.uploads"},
		{good + "current = [", "line"},
	} {
		t.Run("error "+strconv.Quote(test.want), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if (err == nil) != (test.want == "") || err != nil && (!strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("file %q: error %v, want one line that contains the path and %q", test.text, err, test.want)
			}
			// Update must not touch an invalid file.
			if err := Update(path, func(f *File) { f.Contexts["new"] = Context{Users: "10.0.0.1:80", Nodes: []string{"10.0.0.1:81"}} }); (err == nil) != (test.want == "") {
				t.Errorf("%q: Update: %v", test.text, err)
			}
			if raw, _ := os.ReadFile(path); test.want != "" && string(raw) != test.text {
				t.Errorf("Update rewrote the invalid file %q to %q", test.text, raw)
			} else if f, err := Load(path); test.want == "" && (err != nil || f.Contexts["new"].Users == "") {
				t.Errorf("%q: after Update got %+v, %v, want a context \"new\"", test.text, f, err)
			}
		})
	}
	f, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Get(""); err == nil || !strings.Contains(err.Error(), "dykectl up") {
		t.Error(err)
	}
}
