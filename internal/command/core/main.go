// Package core is the command that runs a control machine of a fleet of listed
// machines: it keeps the signed configuration and what was learned, and hands
// them out.
package core

import (
	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/command/process"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

const program = "curlew core"

type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags go first"`
	Name      string   `arg:"--name" help:"this machine's name in the bundle"`
	Zone      string   `arg:"--zone"`
	Peers     string   `arg:"--peers" help:"IP:port for other nodes; one of the seeds"`
	Operators string   `arg:"--operators" help:"IP:port for operators, readiness and metrics"`
	Seeds     []string `arg:"--seeds" help:"IP:port of all control machines, this one included"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"trace, debug, info, warn or error"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "keeps the fleet's state on a core machine" }

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

// Main runs the command with the arguments of the process.
func Main() {
	var a args
	arg.MustParse(&a)
	process.Run(program, a.load, listedcore.Start)
}
