package ctl

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// table collects rows of text for printing in columns.
type table struct {
	headers []string
	rows    [][]string
}

// newTable returns an empty table with the column headers given.
func newTable(headers ...string) *table { return &table{headers: headers} }

// add appends a row.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print prints the rows that contain filter. It sorts them by the column named sort, in any
// case; an unknown column leaves the order as it is.
func (t *table) print(sort, filter string) {
	if at := slices.IndexFunc(t.headers, func(head string) bool { return strings.EqualFold(head, sort) }); at >= 0 {
		slices.SortStableFunc(t.rows, func(a, b []string) int { return compareCells(a[at], b[at]) })
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, strings.Join(t.headers, "\t"))
	for _, row := range t.rows {
		if line := strings.Join(row, "\t"); strings.Contains(line, filter) {
			fmt.Fprintln(out, line)
		}
	}
}

// compareCells orders numbers from the largest to the smallest and other cells alphabetically.
func compareCells(a, b string) int {
	first, errFirst := strconv.ParseFloat(a, 64)
	second, errSecond := strconv.ParseFloat(b, 64)
	if errFirst == nil && errSecond == nil {
		return cmp.Compare(second, first)
	}
	return strings.Compare(a, b)
}

// formatMicros formats a duration in microseconds, rounded to 10 µs.
func formatMicros(us uint64) string {
	return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond).String()
}
