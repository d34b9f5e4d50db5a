package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// output prints for an operator and keeps the first error, so that what can't be printed in
// full ends the command with it.
type output struct {
	w   io.Writer
	err error
}

// printf prints unless printing failed before.
func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, args...)
	}
}

// table prints rows of cells that end with tabs in aligned columns.
func (o *output) table(rows func(table *output)) {
	if o.err != nil {
		return
	}
	w := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	table := &output{w: w}
	rows(table)
	if o.err = table.err; o.err == nil {
		o.err = w.Flush()
	}
}
