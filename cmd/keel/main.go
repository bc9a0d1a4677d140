// Command keel runs a core machine of a fleet of listed machines: it keeps
// the signed configuration and what was learned, and hands them out.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/helm"
	"curlewreach/proto/wire"
)

type args struct {
	Params    string   `arg:"--params" help:"params file in JSON; flags go first"`
	Name      string   `arg:"--name" help:"this machine's name in the bundle"`
	Zone      string   `arg:"--zone"`
	Mates     string   `arg:"--mates" help:"IP:port for other nodes; one of the seeds"`
	Operators string   `arg:"--operators" help:"IP:port for operators, readiness and metrics"`
	Seeds     []string `arg:"--seeds" help:"IP:port of all keels, this one included"`
	Folder    string   `arg:"--folder" help:"data folder"`
	Trusted   []string `arg:"--trusted" help:"public keys that may sign bundles"`
	Log       string   `arg:"--log" help:"trace, debug, info, warn or error"`
}

func (args) Version() string { return "keel " + base.Version }

func (args) Description() string { return "keeps the fleet's state on a core machine" }

func (a args) load() (*wire.KeelParams, error) {
	params := &wire.KeelParams{}
	if err := base.LoadParams(a.Params, params); err != nil {
		return nil, err
	}
	for at, value := range map[*string]string{
		&params.Name: a.Name, &params.Zone: a.Zone, &params.Mates: a.Mates,
		&params.Operators: a.Operators, &params.Folder: a.Folder, &params.Log: a.Log,
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
	helm.Usual(params)
	return params, helm.Check(params)
}

func main() {
	var a args
	arg.MustParse(&a)
	params, err := a.load()
	if err != nil {
		base.PrintErrors("keel", err)
	}
	s, err := base.NewScope("keel", params.Name, params.Folder, params.Log)
	if err != nil {
		base.PrintErrors("keel", err)
	}
	keel, err := helm.Start(s, params)
	if err != nil {
		fmt.Fprintln(os.Stderr, "keel:", err)
		os.Exit(1)
	}
	base.Signals(keel.Stop, func() {
		fresh, err := a.load()
		if err == nil {
			err = keel.Reload(fresh)
		}
		if err != nil {
			s.Log.Error("reload bounced; the old params stay", "mishaps", base.ErrorLines(err))
			return
		}
		s.Log.Info("reloaded")
	})
}
