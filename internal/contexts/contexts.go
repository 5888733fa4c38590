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

// File is the content of dykectl's configuration file.
type File struct {
	Current  string             `toml:"current"`  // name of the context that is used if a command names none
	Contexts map[string]Context `toml:"contexts"` // by name
}

// Context holds the addresses of one cluster, and options of the commands for it.
type Context struct {
	Users   string   `toml:"users"`             // address of the load balancer, or public_addr of a controller
	Nodes   []string `toml:"nodes"`             // peer_listen of each controller
	Uploads string   `toml:"uploads,omitempty"` // address that job descriptions are uploaded to; empty if the cluster accepts none
	Team    string   `toml:"team,omitempty"`    // the only team that the view shows; empty for all teams
	History string   `toml:"history,omitempty"` // what the recorder writes, which reports are made from
}

// Path returns the path of the configuration file: DYKECTL_CONFIG if set, otherwise dykeledge/dykectl.toml in the
// user's configuration directory.
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

// Load reads and validates the configuration file. A file that does not exist counts as empty. Errors fit on one
// line and name the file, the field and what was expected.
func Load(path string) (*File, error) {
	file := &File{}
	raw, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return file, nil
	case err != nil:
		return nil, fmt.Errorf("configuration %s: expected a readable file: %w", path, err)
	}
	if err := config.DecodeStrict(raw, file); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := file.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return file, nil
}

// check validates the file and returns a *config.FieldError for the first invalid field; contexts are checked in the
// order of their names.
func (f *File) check() error {
	if _, ok := f.Contexts[f.Current]; f.Current != "" && !ok {
		return &config.FieldError{Field: "current", Expected: "the name of one of the contexts"}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Contexts)) {
		context, prefix := f.Contexts[name], "contexts."+name+"."
		if !isAddress(context.Users) {
			return &config.FieldError{Field: prefix + "users", Expected: "an address like 10.0.0.1:8080"}
		}
		if len(context.Nodes) == 0 {
			return &config.FieldError{Field: prefix + "nodes", Expected: "at least one node's peer_listen"}
		}
		for i, n := range context.Nodes {
			if !isAddress(n) {
				return &config.FieldError{Field: fmt.Sprintf("%snodes[%d]", prefix, i), Expected: "an address like 10.0.0.1:8081"}
			}
		}
		if context.Uploads != "" && !isAddress(context.Uploads) {
			return &config.FieldError{Field: prefix + "uploads", Expected: "an address like 10.0.0.1:8082"}
		}
	}
	return nil
}

// isAddress reports whether text has the form host:port, with a port from 1 to 65535.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.Atoi(port)
	return err == nil && host != "" && portErr == nil && number > 0 && number <= 65535
}

// Get returns the context with a name, or the current context if name is empty. The error tells the user how to
// proceed.
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

// Update loads the file, applies the function to it, and replaces the file atomically by renaming a temporary file.
// There is no lock: of two concurrent changes, one may be lost.
func Update(path string, modify func(*File)) error {
	file, err := Load(path)
	if err != nil {
		return err
	}
	if file.Contexts == nil {
		file.Contexts = map[string]Context{}
	}
	modify(file)
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
		_ = os.Remove(tmp.Name()) // the error that led here is the one to return
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
