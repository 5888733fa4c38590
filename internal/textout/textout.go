// Package textout prints text and tables for people and keeps the first error of the output, so
// that a printer of many lines checks once, at the end.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package textout

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Printer prints to a writer. After the first error it prints nothing more. A Printer is for one
// goroutine.
type Printer struct {
	writer io.Writer
	flush  func() error // nil: the writer holds nothing back
	err    error
}

// New returns a printer to a writer, unbuffered.
func New(writer io.Writer) *Printer { return &Printer{writer: writer} }

// NewTable returns a printer that aligns cells, which end in tabs, with two blanks between columns.
// flags are those of text/tabwriter. Nothing is certain to be written before Flush.
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

// Flush writes what is held back and returns the first error of all the output.
func (p *Printer) Flush() error {
	if p.err == nil && p.flush != nil {
		p.err = p.flush()
	}
	return p.err
}
