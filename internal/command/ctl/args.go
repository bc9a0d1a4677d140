package ctl

import (
	"curlewreach/base"
)

const program = "curlew ctl"

// keygenArgs are the arguments of 'keygen'.
type keygenArgs struct {
	Out string `arg:"positional,required" help:"file for the private key; the public key is printed"`
}

// draftArgs are the arguments of 'draft'.
type draftArgs struct {
	Base    uint64   `arg:"--base" help:"serial of the bundle that the change is based on"`
	Forsake []string `arg:"--forsake" help:"application machines that are lost for good; the change removes them"`
	Bundle  string   `arg:"--bundle" help:"JSON file with a complete bundle"`
	Change  string   `arg:"--change" help:"JSON file with a change to the base bundle"`
	Out     string   `arg:"--out" help:"file to write the draft to, for signing"`
}

// signArgs are the arguments of 'sign'.
type signArgs struct {
	Draft string `arg:"positional,required" help:"draft file"`
	Key   string `arg:"--key,required" help:"private key file"`
	Out   string `arg:"--out,required" help:"file to write the signed bundle to"`
}

// submitArgs are the arguments of 'submit'.
type submitArgs struct {
	Sealed string `arg:"positional,required" help:"signed bundle file"`
	ID     string `arg:"--id,required" help:"submission ID; submitting the same ID again returns the first decision"`
}

// applyArgs are the arguments of 'apply'.
type applyArgs struct {
	Base    uint64   `arg:"--base" help:"serial of the bundle that the change is based on"`
	Forsake []string `arg:"--forsake" help:"application machines that are lost for good; the change removes them"`
	Bundle  string   `arg:"--bundle" help:"JSON file with a complete bundle"`
	Change  string   `arg:"--change" help:"JSON file with a change to the base bundle"`
	Key     string   `arg:"--key,required" help:"private key file"`
	ID      string   `arg:"--id,required" help:"submission ID; submitting the same ID again returns the first decision"`
}

// showArgs are the arguments of 'show'.
type showArgs struct {
	Serial uint64 `arg:"positional" help:"serial of the bundle; the newest if left out"`
}

// watchArgs are the arguments of 'watch'.
type watchArgs struct {
	Serial  uint64 `arg:"positional" help:"serial to wait for, or a newer one"`
	Seconds int    `arg:"--seconds" default:"9" help:"how long to wait"`
}

// placeArgs are the arguments of 'place'.
type placeArgs struct {
	File string `arg:"positional,required" help:"JSON file with machines, services and rules"`
}

// diffArgs are the arguments of 'diff'.
type diffArgs struct {
	Before uint64 `arg:"positional,required" help:"older serial"`
	After  uint64 `arg:"positional,required" help:"newer serial"`
}

// idArgs are the arguments of subcommands that take a single ID or name.
type idArgs struct {
	ID string `arg:"positional,required"`
}

// noArgs marks a subcommand without arguments of its own.
type noArgs struct{}

// args are the options of the command and its subcommands. go-arg shows the names of
// positional fields in the help text.
type args struct {
	Controllers string      `arg:"--controllers,env:CURLEW_CONTROLLERS" help:"comma-separated IP:port addresses at which the control machines serve operators"`
	JSON        bool        `arg:"--json" help:"print JSON instead of tables"`
	Sort        string      `arg:"--sort" help:"column to sort a table by"`
	Filter      string      `arg:"--filter" help:"print only the rows of a table that contain this text"`
	Keygen      *keygenArgs `arg:"subcommand:keygen" help:"generate a signing key"`
	Draft       *draftArgs  `arg:"subcommand:draft" help:"request a draft and print its differences"`
	Sign        *signArgs   `arg:"subcommand:sign" help:"sign a draft"`
	Submit      *submitArgs `arg:"subcommand:submit" help:"submit a signed bundle"`
	Apply       *applyArgs  `arg:"subcommand:apply" help:"draft, sign and submit in one step"`
	Status      *idArgs     `arg:"subcommand:status" help:"print the outcome of a submission"`
	Show        *showArgs   `arg:"subcommand:show" help:"print a bundle as JSON"`
	Diff        *diffArgs   `arg:"subcommand:diff" help:"compare the bundles of two serials"`
	Holdings    *noArgs     `arg:"subcommand:holdings" help:"list the serial that each node uses"`
	Nodes       *noArgs     `arg:"subcommand:nodes" help:"list the nodes with their standing and upstreams"`
	Odds        *noArgs     `arg:"subcommand:odds" help:"rank identifiers by utility, with confidence and sampling odds"`
	Trace       *idArgs     `arg:"subcommand:trace" help:"print the spans of a trace"`
	State       *noArgs     `arg:"subcommand:state" help:"print keys, owners, epochs, the learner and repairs of each control machine"`
	Shares      *noArgs     `arg:"subcommand:shares" help:"print the requests carried and spans recorded per node and group"`
	Why         *idArgs     `arg:"subcommand:why" help:"print what the nodes recorded about a request (its Curlew-Trace) or a roll-out (its submission)"`
	Counts      *noArgs     `arg:"subcommand:counts" help:"print the event counters of each node"`
	Wrong       *noArgs     `arg:"subcommand:wrong" help:"list what is wrong with the fleet now; exits with 1 if anything is"`
	Watch       *watchArgs  `arg:"subcommand:watch" help:"follow a roll-out until every node uses it"`
	Place       *placeArgs  `arg:"subcommand:place" help:"compute placements from a file of constraints, without moving anything"`
	Adopt       *noArgs     `arg:"subcommand:adopt" help:"after two disks are lost: let the control machine named by --controllers, exactly one, recover from the only intact disk"`
	Open        *openArgs   `arg:"subcommand:open" help:"inspect an open fleet; --controllers then takes the addresses at which control machines serve nodes"`
	Shell       *noArgs     `arg:"subcommand:shell" help:"read commands from the terminal in a loop"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "inspects a fleet and changes its configuration" }
