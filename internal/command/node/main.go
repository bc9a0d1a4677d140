// Package node implements the command that runs an application machine of a fleet of
// listed machines. It forwards requests between its local instances and its peers, and
// records spans.
package node

import (
	"os"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/listednode"
	"curlewreach/internal/process"
	"curlewreach/internal/signals"
	"curlewreach/proto/wire"
)

const program = "curlew node"

// args are the options of the command. They take precedence over the params file.
type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags take precedence over it"`
	Name      string   `arg:"--name" help:"name of this machine in the bundle"`
	Zone      string   `arg:"--zone" help:"zone of this machine"`
	Peers     string   `arg:"--peers" help:"IP:port to serve peers at"`
	Visitors  string   `arg:"--visitors" help:"IP:port to serve clients' requests at"`
	Upstreams string   `arg:"--upstreams" help:"IP:port to serve upstreams at, for their reports and further calls"`
	Ops       string   `arg:"--ops" help:"IP:port to serve readiness, metrics and the journal at"`
	Seeds     []string `arg:"--seeds" help:"IP:port of each control machine, up to three"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"log level: trace, debug, info, warn or error"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "forwards requests on an application machine" }

// load returns the settings from the params file and the flags, with defaults set, and checks
// them.
func (a args) load() (*wire.VaneParams, error) {
	params := &wire.VaneParams{}
	if err := base.LoadParams(a.Params, params); err != nil {
		return nil, err
	}
	process.Override(map[*string]string{
		&params.Name: a.Name, &params.Zone: a.Zone, &params.Mates: a.Peers, &params.Visitors: a.Visitors,
		&params.Upstreams: a.Upstreams, &params.Ops: a.Ops, &params.Folder: a.Folder, &params.Log: a.Log,
	})
	process.OverrideList(&params.Seeds, a.Seeds)
	process.OverrideList(&params.Trusted, a.Trusted)
	listednode.SetDefaults(params)
	return params, listednode.Check(params)
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
	os.Exit(process.Run(process.Program[*wire.VaneParams, *listednode.Process]{Name: program, Load: a.load, Start: listednode.Start}, signals.Received()))
}
