package contexts

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dykeledge/internal/config"
)

// File is the configuration file.
type File struct {
	Current  string             `toml:"current"`
	Contexts map[string]Context `toml:"contexts"`
}

// Context names a cluster's addresses.
type Context struct {
	Users   string   `toml:"users"`             // the load balancer, or a node's public_addr
	Nodes   []string `toml:"nodes"`             // each node's peer_listen
	Uploads string   `toml:"uploads,omitempty"` // where descriptions of jobs are put, if the cluster takes them
	Team    string   `toml:"team,omitempty"`    // the view shows this team only
	History string   `toml:"history,omitempty"` // what the recorder writes, for reports
}

// Path returns where the file is unless somebody says otherwise.
func Path() (string, error) {
	if p := os.Getenv("DYKECTL_CONFIG"); p != "" {
		return p, nil
	}
	dir, err := os.UserConfigDir()
	if err != nil {
		return "", fmt.Errorf("configuration: expected --config FILE, or a home directory: %w", err)
	}
	return filepath.Join(dir, "dykeledge", "dykectl.toml"), nil
}

// Load reads and checks the file; one that is not there is empty. Errors fit on one line and
// name file, field and what was expected.
func Load(path string) (*File, error) {
	file := &File{}
	raw, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return file, nil
	case err != nil:
		return nil, fmt.Errorf("configuration %s: expected a readable file: %w", path, err)
	}
	if err := config.Strict(raw, file); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := file.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return file, nil
}

// check returns a *config.FieldError of the first field that is wrong, by the names of the contexts.
func (f *File) check() error {
	if _, ok := f.Contexts[f.Current]; f.Current != "" && !ok {
		return &config.FieldError{Field: "current", Expected: "the name of one of the contexts"}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Contexts)) {
		context, at := f.Contexts[name], "contexts."+name+"."
		if !isAddress(context.Users) {
			return &config.FieldError{Field: at + "users", Expected: "an address like 10.0.0.1:8080"}
		}
		if len(context.Nodes) == 0 {
			return &config.FieldError{Field: at + "nodes", Expected: "at least one node's peer_listen"}
		}
		for i, n := range context.Nodes {
			if !isAddress(n) {
				return &config.FieldError{Field: fmt.Sprintf("%snodes[%d]", at, i), Expected: "an address like 10.0.0.1:8081"}
			}
		}
		if context.Uploads != "" && !isAddress(context.Uploads) {
			return &config.FieldError{Field: at + "uploads", Expected: "an address like 10.0.0.1:8082"}
		}
	}
	return nil
}

// isAddress tells whether a text is a host and a port.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.Atoi(port)
	return err == nil && host != "" && portErr == nil && number > 0 && number <= 65535
}

// Get finds a context by its name; "" means the current one. Errors say what to do.
func (f *File) Get(name string) (Context, error) {
	if name == "" {
		name = f.Current
	}
	if name == "" {
		return Context{}, errors.New("no cluster is named: start one with dykectl up, or write a context (see dykectl config --help)")
	}
	c, ok := f.Contexts[name]
	if !ok {
		return c, fmt.Errorf("no context %q: there are %s", name, strings.Join(slices.Sorted(maps.Keys(f.Contexts)), ", "))
	}
	return c, nil
}

// Change rewrites the file by a function, whole or not at all. Two changes at a time may lose one of them.
func Change(path string, by func(*File)) error {
	file, err := Load(path)
	if err != nil {
		return err
	}
	if file.Contexts == nil {
		file.Contexts = map[string]Context{}
	}
	by(file)
	raw, err := toml.Marshal(file)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".dykectl-*")
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	_, err = tmp.Write(raw)
	if err = errors.Join(err, tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name()) // what matters is the error before
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
