package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// output prints a command's output and keeps the first write error, with which the command
// fails.
type output struct {
	w   io.Writer
	err error
}

// printf formats and writes, unless an earlier write failed.
func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, args...)
	}
}

// table prints rows in aligned columns. In a row, each cell but the last ends with a tab.
func (o *output) table(rows func(table *output)) {
	if o.err != nil {
		return
	}
	columns := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	table := &output{w: columns}
	rows(table)
	if o.err = table.err; o.err == nil {
		o.err = columns.Flush()
	}
}
