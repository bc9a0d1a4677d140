// Package node is the command that runs an application machine of a fleet of
// listed machines: it forwards requests between the instances beside it and its
// peers, and records spans.
package node

import (
	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/command/process"
	"curlewreach/internal/listednode"
	"curlewreach/proto/wire"
)

const program = "curlew node"

type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags go first"`
	Name      string   `arg:"--name" help:"this machine's name in the bundle"`
	Zone      string   `arg:"--zone"`
	Peers     string   `arg:"--peers" help:"IP:port for other nodes"`
	Visitors  string   `arg:"--visitors" help:"IP:port for requests"`
	Upstreams string   `arg:"--upstreams" help:"IP:port for upstreams' reports and further calls"`
	Ops       string   `arg:"--ops" help:"IP:port for readiness, metrics and the journal"`
	Seeds     []string `arg:"--seeds" help:"IP:port of up to three control machines"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"trace, debug, info, warn or error"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "carries requests on an application machine" }

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

// Main runs the command with the arguments of the process.
func Main() {
	var a args
	arg.MustParse(&a)
	process.Run(program, a.load, listednode.Start)
}
