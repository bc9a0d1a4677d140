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

type table struct {
	heads []string
	rows  [][]string
}

func tableOf(heads ...string) *table { return &table{heads: heads} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(sort, filter string) {
	if at := slices.IndexFunc(t.heads, func(head string) bool { return strings.EqualFold(head, sort) }); at >= 0 {
		slices.SortStableFunc(t.rows, func(a, b []string) int { return compareCells(a[at], b[at]) })
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, strings.Join(t.heads, "\t"))
	for _, row := range t.rows {
		if line := strings.Join(row, "\t"); strings.Contains(line, filter) {
			fmt.Fprintln(out, line)
		}
	}
}

func compareCells(a, b string) int {
	one, fault := strconv.ParseFloat(a, 64)
	two, other := strconv.ParseFloat(b, 64)
	if fault == nil && other == nil {
		return cmp.Compare(two, one)
	}
	return strings.Compare(a, b)
}

func human(us uint64) string {
	return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond).String()
}
