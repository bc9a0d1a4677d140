// Package core implements the command that runs a control machine of a fleet of listed
// machines. It stores the signed configuration and the learned sampling odds, and
// distributes them.
package core

import (
	"os"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/internal/process"
	"curlewreach/internal/signals"
	"curlewreach/proto/wire"
)

const program = "curlew core"

// args are the options of the command. They take precedence over the params file.
type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags take precedence over it"`
	Name      string   `arg:"--name" help:"name of this machine in the bundle"`
	Zone      string   `arg:"--zone" help:"zone of this machine"`
	Peers     string   `arg:"--peers" help:"IP:port to serve other machines at; one of the seeds"`
	Operators string   `arg:"--operators" help:"IP:port to serve operators, readiness and metrics at"`
	Seeds     []string `arg:"--seeds" help:"IP:port of all control machines, this one included"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"log level: trace, debug, info, warn or error"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "stores and distributes the state of the fleet" }

// load returns the settings from the params file and the flags, with defaults set, and checks
// them.
func (a args) load() (*wire.KeelParams, error) {
	params := &wire.KeelParams{}
	if err := base.LoadParams(a.Params, params); err != nil {
		return nil, err
	}
	process.Override(map[*string]string{
		&params.Name: a.Name, &params.Zone: a.Zone, &params.Mates: a.Peers,
		&params.Operators: a.Operators, &params.Folder: a.Folder, &params.Log: a.Log,
	})
	process.OverrideList(&params.Seeds, a.Seeds)
	process.OverrideList(&params.Trusted, a.Trusted)
	listedcore.SetDefaults(params)
	return params, listedcore.Check(params)
}

// Main runs the command with the process's arguments. Flags alone can't change, so they must be right; a params file may be
// written later.
func Main() {
	var a args
	arg.MustParse(&a)
	if a.Params == "" {
		if _, err := a.load(); err != nil {
			base.ExitWithParamErrors(program, err)
		}
	}
	os.Exit(process.Run(process.Program[*wire.KeelParams, *listedcore.Process]{Name: program, Load: a.load, Start: listedcore.Start}, signals.Received()))
}
