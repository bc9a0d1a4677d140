// Command vane runs an application machine of a fleet of listed machines: it
// carries requests between the instances beside it and its peers, and
// records spans.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/flow"
	"curlewreach/proto/wire"
)

type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags go first"`
	Name      string   `arg:"--name" help:"this machine's name in the bundle"`
	Zone      string   `arg:"--zone"`
	Mates     string   `arg:"--mates" help:"IP:port for other nodes"`
	Visitors  string   `arg:"--visitors" help:"IP:port for requests"`
	Upstreams string   `arg:"--upstreams" help:"IP:port for upstreams' reports and further calls"`
	Ops       string   `arg:"--ops" help:"IP:port for readiness, metrics and the journal"`
	Seeds     []string `arg:"--seeds" help:"IP:port of up to three keels"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"trace, debug, info, warn or error"`
}

func (args) Version() string { return "vane " + base.Version }

func (args) Description() string { return "carries requests on an application machine" }

func (a args) load() (*wire.VaneParams, error) {
	params := &wire.VaneParams{}
	if err := base.LoadParams(a.Params, params); err != nil {
		return nil, err
	}
	for at, value := range map[*string]string{
		&params.Name: a.Name, &params.Zone: a.Zone, &params.Mates: a.Mates, &params.Visitors: a.Visitors,
		&params.Upstreams: a.Upstreams, &params.Ops: a.Ops, &params.Folder: a.Folder, &params.Log: a.Log,
	} {
		if value != "" {
			*at = value
		}
	}
	if len(a.Seeds) > 0 {
		params.Seeds = a.Seeds
	}
	if len(a.Trusted) > 0 {
		params.Trusted = a.Trusted
	}
	flow.Usual(params)
	return params, flow.Check(params)
}

func main() {
	var a args
	arg.MustParse(&a)
	params, err := a.load()
	if err != nil {
		base.PrintErrors("vane", err)
	}
	s, err := base.NewScope("vane", params.Name, params.Folder, params.Log)
	if err != nil {
		base.PrintErrors("vane", err)
	}
	vane, err := flow.Start(s, params)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vane:", err)
		os.Exit(1)
	}
	base.Signals(vane.Stop, func() {
		fresh, err := a.load()
		if err == nil {
			err = vane.Reload(fresh)
		}
		if err != nil {
			s.Log.Error("reload bounced; the old params stay", "mishaps", base.ErrorLines(err))
			return
		}
		s.Log.Info("reloaded")
	})
}
