package textout

import (
	"errors"
	"strings"
	"testing"
)

func TestTable(t *testing.T) {
	var out strings.Builder
	table := NewTable(&out, 0)
	table.Println("NAME\tCPUS")
	table.Printf("%s\t%d\n", "red-team", 8)
	if err := table.Flush(); err != nil {
		t.Fatal(err)
	}
	if want := "NAME      CPUS\nred-team  8\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

var errFull = errors.New("disk full")

// limitedWriter is a writer that accepts left more writes and then fails with errFull.
type limitedWriter struct{ writesLeft int }

func (f *limitedWriter) Write(text []byte) (int, error) {
	if f.writesLeft == 0 {
		return 0, errFull
	}
	f.writesLeft--
	return len(text), nil
}

func TestFirstErrorIsKept(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes int
		want   error
	}{
		{"no write fails", 2, nil},
		{"the second write fails", 1, errFull},
		{"the first write fails", 0, errFull},
	} {
		t.Run(test.name, func(t *testing.T) {
			printer := New(&limitedWriter{writesLeft: test.writes})
			printer.Println("one")
			printer.Printf("%d\n", 2)
			if err := printer.Flush(); !errors.Is(err, test.want) {
				t.Errorf("Flush: %v, want %v", err, test.want)
			}
		})
	}
}
