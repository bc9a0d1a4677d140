// Command curlew is the tool of operators and developers. It also runs the machines of a
// fleet of listed machines; those of open fleets run platform/curlewreach.
package main

import (
	"fmt"
	"os"

	"curlewreach/internal/command/core"
	"curlewreach/internal/command/ctl"
	"curlewreach/internal/command/node"
	"curlewreach/internal/command/simulate"
	"curlewreach/internal/command/standins"
	"curlewreach/internal/signals"
)

const usage = `Usage: curlew COMMAND [OPTIONS]

Commands:
  ctl       inspect a fleet and change its configuration; for operators
  node      run an application machine of a fleet of listed machines
  core      run a control machine of a fleet of listed machines
  simulate  run a complete fleet on this machine, to test it
  standin   stand in for an upstream instance or for clients, to test a fleet

curlew COMMAND --help prints the options of a command.
`

// commands are the subcommands by name. Each reads its arguments from os.Args.
var commands = map[string]func(){
	"ctl":      ctl.Main,
	"node":     node.Main,
	"core":     core.Main,
	"simulate": simulate.Main,
	"standin":  standins.Main,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	name := os.Args[1]
	if name == "--help" || name == "-h" || name == "help" {
		fmt.Print(usage)
		return
	}
	run, known := commands[name]
	if !known {
		fmt.Fprintf(os.Stderr, "curlew: no command %q\n\n%s", name, usage)
		os.Exit(2)
	}
	if name != "node" && name != "core" {
		signals.Release()
	}
	os.Args = append([]string{"curlew " + name}, os.Args[2:]...)
	run()
}
