package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// errNotRun means that a case could not be played.
type errNotRun struct{ reason string }

func (e errNotRun) Error() string { return e.reason }

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"stop":   playStop,
	"path":   playPath,
	"upload": playUpload,
}

// services are the services of a case's machines.
var services = map[string][]string{
	"upload": {"circdesk", "circdesk", "ledger", "ledger"},
	"path":   {"circdesk", "circdesk", "ledger", "ledger"},
	"stop":   {"circdesk", "circdesk", "ledger", "ledger"},
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/curlewreach", "the built program")
	record := flag.String("record", "record.txt", "the file to write what was sent, answered and run to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.String("keep", "", "folder for settings, data and logs; empty: a temporary one")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *keep, *trouble))
}

// play plays a case and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func play(name, program, record, folder string, trouble bool) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	if folder == "" {
		if folder, err = os.MkdirTemp("", "second"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(folder)
	}
	absolute, err := filepath.Abs(program)
	if err != nil || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "no such case or program")
		return 2
	}
	rec := &recorder{out: io.MultiWriter(out), began: time.Now()}
	f, err := newFleet(absolute, folder, rec, services[name])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		rec.log("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken:
		rec.log("the rule was BROKEN")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
