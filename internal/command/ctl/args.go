package ctl

import (
	"curlewreach/base"
)

const program = "curlew ctl"

type keygen struct {
	Out string `arg:"positional,required" help:"file for the private key; the public key is printed"`
}

type draft struct {
	Base    uint64   `arg:"--base" help:"serial that the change starts from"`
	Forsake []string `arg:"--forsake" help:"application machines gone for good, dropped by the change"`
	Bundle  string   `arg:"--bundle" help:"JSON file with a whole bundle"`
	Change  string   `arg:"--change" help:"JSON file with a small change"`
	Out     string   `arg:"--out" help:"where the draft to sign is written"`
}

type sign struct {
	Draft string `arg:"positional,required" help:"draft file"`
	Key   string `arg:"--key,required" help:"private key file"`
	Out   string `arg:"--out,required" help:"where the signed bundle is written"`
}

type submit struct {
	Sealed string `arg:"positional,required" help:"signed bundle file"`
	ID     string `arg:"--id,required" help:"submission id; the same id is decided once"`
}

type apply struct {
	Base    uint64   `arg:"--base"`
	Forsake []string `arg:"--forsake" help:"application machines gone for good, dropped by the change"`
	Bundle  string   `arg:"--bundle"`
	Change  string   `arg:"--change"`
	Key     string   `arg:"--key,required"`
	ID      string   `arg:"--id,required"`
}

type show struct {
	Serial uint64 `arg:"positional" help:"the newest when left out"`
}

type watch struct {
	Serial  uint64 `arg:"positional" help:"wait for this serial or a newer one"`
	Seconds int    `arg:"--seconds" default:"9"`
}

type place struct {
	File string `arg:"positional,required" help:"JSON file with machines, services and rules"`
}

type diff struct {
	Before uint64 `arg:"positional,required"`
	After  uint64 `arg:"positional,required"`
}

type named struct {
	ID string `arg:"positional,required"`
}

type none struct{}

type args struct {
	Controllers string  `arg:"--controllers,env:CURLEW_CONTROLLERS" help:"operators' addresses of the control machines, IP:port, with commas between"`
	JSON        bool    `arg:"--json" help:"print JSON"`
	Sort        string  `arg:"--sort" help:"column to sort a table by"`
	Filter      string  `arg:"--filter" help:"only rows of a table that hold this text"`
	Keygen      *keygen `arg:"subcommand:keygen" help:"make a signing key"`
	Draft       *draft  `arg:"subcommand:draft" help:"ask for a draft and see the difference"`
	Sign        *sign   `arg:"subcommand:sign" help:"sign a draft"`
	Submit      *submit `arg:"subcommand:submit" help:"submit a signed bundle"`
	Apply       *apply  `arg:"subcommand:apply" help:"draft, sign and submit at once"`
	Status      *named  `arg:"subcommand:status" help:"what became of a submission"`
	Show        *show   `arg:"subcommand:show" help:"read a bundle whole"`
	Diff        *diff   `arg:"subcommand:diff" help:"compare two serials"`
	Holdings    *none   `arg:"subcommand:holdings" help:"which nodes are on which serial"`
	Nodes       *none   `arg:"subcommand:nodes" help:"nodes, standing and upstreams"`
	Odds        *none   `arg:"subcommand:odds" help:"ranking by utility, confidence and keep odds"`
	Trace       *named  `arg:"subcommand:trace" help:"one whole trace"`
	State       *none   `arg:"subcommand:state" help:"keys, owners, epochs, the learner and repair at each control machine"`
	Shares      *none   `arg:"subcommand:shares" help:"what each group was given, by node"`
	Why         *named  `arg:"subcommand:why" help:"what the nodes did with a request (its Curlew-Trace) or a roll-out (its submission)"`
	Counts      *none   `arg:"subcommand:counts" help:"event counters of each node"`
	Wrong       *none   `arg:"subcommand:wrong" help:"one view: what is wrong now? exit 1 if anything is"`
	Watch       *watch  `arg:"subcommand:watch" help:"follow a roll-out until every node holds it"`
	Place       *place  `arg:"subcommand:place" help:"solve placements from a file of constraints; moves nothing"`
	Adopt       *none   `arg:"subcommand:adopt" help:"after two disks are lost: let the one control machine named by --controllers recover from the whole one alone"`
	Open        *open   `arg:"subcommand:open" help:"look at an open fleet; --controllers names the control machines' addresses for nodes"`
	Shell       *none   `arg:"subcommand:shell" help:"read commands from the terminal"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string { return "asks and steers the fleet" }
