// Package textout prints text and tables to a writer and keeps the first write error, so that code that prints many
// lines checks for errors once, at the end.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package textout

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Printer prints to a writer. After the first write error it prints nothing more. It is not safe for concurrent use.
type Printer struct {
	writer io.Writer
	flush  func() error // flushes the writer; nil if it is unbuffered
	err    error
}

// New returns a Printer that prints to writer without a buffer of its own.
func New(writer io.Writer) *Printer { return &Printer{writer: writer} }

// NewTable returns a Printer that aligns tab-terminated cells in columns with two spaces between them. flags are
// those of text/tabwriter. Output is buffered until Flush.
func NewTable(writer io.Writer, flags uint) *Printer {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', flags)
	return &Printer{writer: table, flush: table.Flush}
}

// Println prints its arguments as fmt.Println does.
func (p *Printer) Println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.writer, args...)
	}
}

// Printf prints its arguments as fmt.Printf does.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.writer, format, args...)
	}
}

// Flush writes buffered output and returns the first error since the Printer was made.
func (p *Printer) Flush() error {
	if p.err == nil && p.flush != nil {
		p.err = p.flush()
	}
	return p.err
}
