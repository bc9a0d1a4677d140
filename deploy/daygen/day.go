package main

import (
	"fmt"
	"strconv"
	"strings"
)

// Section is the part of a day file that an entry is written to.
type Section string

const (
	// Plan contains planned work.
	Plan Section = "plan"
	// Faults contains everything else.
	Faults Section = "faults"
)

// Entry is one event of a day: planned work or a fault. Fields with a zero value are left out of the file.
type Entry struct {
	At      float64
	Kind    string
	On      string
	Zone    string
	ToZone  string
	Service string
	Class   string
	Count   int
	Share   float64
	X       float64
	ForS    float64
	GapS    float64
	How     string
}

// Closing is the fault that ends a day.
type Closing struct {
	Kind  string
	DownS float64
	How   string
}

// Day is a test scenario for a deployment. The bench reads it from a TOML file.
type Day struct {
	Name    string
	Comment string
	Seed    uint64
	Plan    []Entry
	Faults  []Entry
	Closing *Closing
}

// TOML returns the contents of the day file.
func (d Day) TOML() string {
	var text strings.Builder
	if d.Comment != "" {
		fmt.Fprintf(&text, "# %s\n", d.Comment)
	}
	fmt.Fprintf(&text, "name = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	if d.Closing != nil {
		fmt.Fprintf(&text, "closing = %s\n", d.Closing.inlineTable())
	}
	writeSection(&text, Plan, d.Plan)
	writeSection(&text, Faults, d.Faults)
	return text.String()
}

func writeSection(text *strings.Builder, section Section, entries []Entry) {
	fmt.Fprintf(text, "%s = [\n", section)
	for _, entry := range entries {
		fmt.Fprintf(text, "  %s,\n", entry.inlineTable())
	}
	text.WriteString("]\n")
}

func (e Entry) inlineTable() string {
	var table inlineTable
	table.addFloat("at", e.At)
	table.addString("kind", e.Kind)
	table.addString("on", e.On)
	table.addString("zone", e.Zone)
	table.addString("to_zone", e.ToZone)
	table.addString("service", e.Service)
	table.addString("class", e.Class)
	table.addInt("count", e.Count)
	table.addFloat("share", e.Share)
	table.addFloat("x", e.X)
	table.addFloat("for_s", e.ForS)
	table.addFloat("gap_s", e.GapS)
	table.addString("how", e.How)
	return table.String()
}

func (c Closing) inlineTable() string {
	var table inlineTable
	table.addString("kind", c.Kind)
	table.addFloat("down_s", c.DownS)
	table.addString("how", c.How)
	return table.String()
}

// inlineTable collects the fields of a TOML inline table. Zero values are skipped.
type inlineTable struct{ fields []string }

func (t *inlineTable) addString(key, value string) {
	if value != "" {
		t.fields = append(t.fields, fmt.Sprintf("%s = %q", key, value))
	}
}

func (t *inlineTable) addInt(key string, value int) {
	if value != 0 {
		t.fields = append(t.fields, fmt.Sprintf("%s = %d", key, value))
	}
}

// addFloat always writes a decimal point, since the bench distinguishes floats from integers.
func (t *inlineTable) addFloat(key string, value float64) {
	if value == 0 {
		return
	}
	number := strconv.FormatFloat(value, 'f', -1, 64)
	if !strings.Contains(number, ".") {
		number += ".0"
	}
	t.fields = append(t.fields, key+" = "+number)
}

func (t *inlineTable) String() string {
	return "{ " + strings.Join(t.fields, ", ") + " }"
}
