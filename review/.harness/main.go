package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the cases by name; each file of a case adds its own. A case reports whether the rule held.
var cases = map[string]func(*record, bool) (held bool, err error){}

// main runs a case: review-harness CASE FOLDER. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
func main() {
	os.Exit(play())
}

// play runs the case and returns the exit status.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case held:
		rec.say("the rule held")
		fmt.Println("held")
		return 0
	}
	rec.say("the rule was broken")
	fmt.Println("broken")
	return 1
}
