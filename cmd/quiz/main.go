package main

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/helm"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

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
	Keels    string  `arg:"--keels,env:CURLEW_KEELS" help:"operators' doors of the keels, IP:port, with commas between"`
	JSON     bool    `arg:"--json" help:"print JSON"`
	Sort     string  `arg:"--sort" help:"column to sort a table by"`
	Filter   string  `arg:"--filter" help:"only rows of a table that hold this text"`
	Keygen   *keygen `arg:"subcommand:keygen" help:"make a signing key"`
	Draft    *draft  `arg:"subcommand:draft" help:"ask for a draft and see the difference"`
	Sign     *sign   `arg:"subcommand:sign" help:"sign a draft"`
	Submit   *submit `arg:"subcommand:submit" help:"hand in a signed bundle"`
	Apply    *apply  `arg:"subcommand:apply" help:"draft, sign and hand in at once"`
	Status   *named  `arg:"subcommand:status" help:"what became of a submission"`
	Show     *show   `arg:"subcommand:show" help:"read a bundle whole"`
	Diff     *diff   `arg:"subcommand:diff" help:"compare two serials"`
	Holdings *none   `arg:"subcommand:holdings" help:"which nodes are on which serial"`
	Nodes    *none   `arg:"subcommand:nodes" help:"nodes, standing and upstreams"`
	Odds     *none   `arg:"subcommand:odds" help:"ranking by utility, confidence and keep odds"`
	Trace    *named  `arg:"subcommand:trace" help:"one whole trace"`
	State    *none   `arg:"subcommand:state" help:"keys, owners, epochs, the learner's holder and repair at each keel"`
	Shares   *none   `arg:"subcommand:shares" help:"what each group was given, by node"`
	Why      *named  `arg:"subcommand:why" help:"what the nodes did with a request (its Curlew-Trace) or a roll-out (its submission)"`
	Counts   *none   `arg:"subcommand:counts" help:"event counters of each node"`
	Wrong    *none   `arg:"subcommand:wrong" help:"one view: what is wrong now? exit 1 if anything is"`
	Watch    *watch  `arg:"subcommand:watch" help:"follow a roll-out until every node holds it"`
	Place    *place  `arg:"subcommand:place" help:"solve placements from a file of constraints; moves nothing"`
	Adopt    *none   `arg:"subcommand:adopt" help:"after two disks are lost: let the one keel named by --keels recover from the whole one alone"`
	Open     *open   `arg:"subcommand:open" help:"look at an open fleet; --keels names the keels' doors for mates"`
	Shell    *none   `arg:"subcommand:shell" help:"read commands from the terminal"`
}

func (args) Version() string { return "quiz " + base.Version }

func (args) Description() string { return "asks and steers the fleet" }

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if a.Open != nil && a.Open.empty() {
		parser.WriteHelpForSubcommand(os.Stderr, "open")
		os.Exit(2)
	}
	ask := a.once
	if a.Shell != nil {
		ask = a.shell
	}
	if err := ask(); err != nil {
		fmt.Fprintln(os.Stderr, "quiz:", err)
		os.Exit(exitCode(err))
	}
}

const (
	exitMishap      = 1
	exitBadFile     = 2
	exitBounced     = 3
	exitUnknown     = 4
	exitUnreachable = 5
)

type badFile struct{ error }

var errUnknown = errors.New("not known yet; ask again with status")

func exitCode(err error) int {
	var mishap *base.Mishap
	var bad badFile
	switch {
	case errors.As(err, &bad):
		return exitBadFile
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, helm.ErrNoKeel):
		return exitUnreachable
	case errors.As(err, &mishap):
		return exitBounced
	}
	return exitMishap
}

func (a *args) keels() []string {
	return strings.FieldsFunc(a.Keels, func(r rune) bool { return r == ',' })
}

func (a *args) once() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return a.run(ctx)
}

func (a *args) run(ctx context.Context) error {
	clerk := &helm.Clerk{Web: http.DefaultClient, Keels: a.keels()}
	switch {
	case a.Keygen != nil:
		return a.Keygen.run()
	case a.Draft != nil:
		return a.Draft.run(ctx, clerk)
	case a.Sign != nil:
		return a.Sign.run()
	case a.Submit != nil:
		sealed := &wire.Sealed{}
		if err := readProto(a.Submit.Sealed, sealed); err != nil {
			return err
		}
		return a.outcome(clerk.Sign(ctx, a.Submit.ID, sealed))
	case a.Apply != nil:
		request, err := request(a.Apply.Base, a.Apply.Bundle, a.Apply.Change, a.Apply.Forsake)
		if err != nil {
			return err
		}
		key, err := readKey(a.Apply.Key)
		if err != nil {
			return err
		}
		return a.outcome(clerk.Apply(ctx, a.Apply.ID, request, key))
	case a.Status != nil:
		return a.outcome(clerk.Status(ctx, a.Status.ID))
	case a.Show != nil:
		reply, err := clerk.Show(ctx, a.Show.Serial)
		if err != nil {
			return err
		}
		return printProto(reply.Bundle)
	case a.Diff != nil:
		before, err := clerk.Show(ctx, a.Diff.Before)
		if err != nil {
			return err
		}
		after, err := clerk.Show(ctx, a.Diff.After)
		if err != nil {
			return err
		}
		fmt.Println(strings.Join(bundle.Difference(before.Bundle, after.Bundle), "\n"))
		return nil
	case a.Holdings != nil:
		reply, err := clerk.Holdings(ctx)
		return a.table(reply, err, func() {
			fmt.Printf("newest serial %d\n", reply.Serial)
			t := tableOf("NODE", "SERIAL", "ODDS", "STANDING")
			for _, each := range reply.Holdings {
				t.add(each.Node, each.Serial, each.Odds, each.Standing)
			}
			t.print(a.Sort, a.Filter)
			for _, silent := range reply.Silent {
				fmt.Printf("%-16s did not reply\n", silent)
			}
		})
	case a.Nodes != nil:
		reply, err := clerk.Nodes(ctx)
		return a.table(reply, err, func() {
			t := tableOf("NODE", "ZONE", "KIND", "STANDING", "SILENT", "UPSTREAMS")
			for _, each := range reply.Sightings {
				kind := "vane"
				if each.Roster.Core {
					kind = "keel"
				}
				var seats []string
				for _, seat := range each.Roster.Seats {
					seats = append(seats, seat.Service+"@"+seat.Address)
				}
				t.add(each.Roster.Node, each.Roster.Zone, kind, each.Standing, human(each.SilenceUs), strings.Join(seats, " "))
			}
			t.print(a.Sort, a.Filter)
		})
	case a.Odds != nil:
		reply, err := clerk.Odds(ctx)
		return a.table(reply, err, func() { a.tellOdds(reply) })
	case a.State != nil:
		return a.state(ctx, clerk)
	case a.Adopt != nil:
		if len(a.keels()) != 1 {
			return errors.New("adopt takes exactly one keel")
		}
		reply, err := clerk.Adopt(ctx)
		return a.table(reply, err, func() { fmt.Printf("%s is %s\n", reply.Keel, reply.Phase) })
	case a.Why != nil:
		reply, err := clerk.Why(ctx, a.Why.ID)
		return a.table(reply, err, func() { tellWhy(reply) })
	case a.Shares != nil:
		reply, err := clerk.Why(ctx, "")
		return a.table(reply, err, func() { tellShares(reply) })
	case a.Counts != nil:
		reply, err := clerk.Why(ctx, "")
		return a.table(reply, err, func() {
			for _, each := range reply.Told {
				fmt.Println(each.Node, sorted(each.Counts))
			}
			tellSilent(reply)
		})
	case a.Wrong != nil:
		return a.wrong(ctx, clerk)
	case a.Open != nil:
		return a.open(ctx, clerk)
	case a.Watch != nil:
		return a.watch(ctx, clerk)
	case a.Place != nil:
		return a.place()
	case a.Trace != nil:
		reply, err := clerk.Trace(ctx, a.Trace.ID)
		return a.table(reply, err, func() {
			sort.Slice(reply.Spans, func(i, j int) bool { return reply.Spans[i].StartedUs < reply.Spans[j].StartedUs })
			t := tableOf("SPAN", "PARENT", "SIDE", "IDENTIFIER", "TOOK", "SELF", "STATUS", "NODE", "STATE")
			for _, span := range reply.Spans {
				t.add(span.Id, span.Parent, cmp.Or(span.Side, "far"), span.Service+"/"+span.Route, human(span.DurationUs), human(span.SelfUs), span.Status, span.Node, strings.TrimSpace(span.Tags["state"]+" "+span.Tags["kind"]))
			}
			t.print(a.Sort, a.Filter)
		})
	}
	return nil
}

func (a *args) tellOdds(reply *wire.Learning) {
	sort.Slice(reply.Beliefs, func(i, j int) bool { return reply.Beliefs[i].Utility > reply.Beliefs[j].Utility })
	fmt.Printf("cycle %d, learner %s\n", reply.Cycle, reply.Holder)
	t := tableOf("IDENTIFIER", "UTILITY", "MEAN", "CONFIDENCE", "ODDS", "SPANS")
	for _, each := range reply.Beliefs {
		t.add(each.Identifier, fmt.Sprintf("%.0f", each.Utility), fmt.Sprintf("%.3f", each.Alpha/(each.Alpha+each.Beta)), fmt.Sprintf("%.1f", each.Alpha+each.Beta), fmt.Sprintf("%.3f", each.Odds), each.Samples)
	}
	t.print(a.Sort, a.Filter)
	for _, each := range reply.Correlations {
		fmt.Printf("%-32s %s goes with latency, r = %.2f over %d spans\n", each.Identifier, each.Tag, each.R, each.Spans)
	}
}

func (a *args) table(reply proto.Message, err error, text func()) error {
	if err != nil {
		return err
	}
	if a.JSON {
		return printProto(reply)
	}
	text()
	return nil
}

func (a *args) outcome(outcome *wire.Outcome, err error) error {
	if err != nil {
		return err
	}
	if a.JSON {
		_ = printProto(outcome)
	} else {
		fmt.Printf("%s serial %d\n", strings.ToLower(outcome.Verdict.String()), outcome.Serial)
	}
	if mishap := outcome.Mishap; mishap != nil && outcome.Verdict == wire.Verdict_BOUNCED {
		return &base.Mishap{Kind: base.Kind(mishap.Kind), Path: mishap.Path, Reason: mishap.Reason}
	}
	if outcome.Verdict == wire.Verdict_UNKNOWN {
		return errUnknown
	}
	return nil
}

func (k *keygen) run() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.Out, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n"), 0o600); err != nil {
		return err
	}
	fmt.Println(base64.StdEncoding.EncodeToString(public))
	return nil
}

func (d *draft) run(ctx context.Context, clerk *helm.Clerk) error {
	ask, err := request(d.Base, d.Bundle, d.Change, d.Forsake)
	if err != nil {
		return err
	}
	reply, err := clerk.Draft(ctx, ask)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(reply.Difference, "\n"))
	if d.Out == "" {
		return nil
	}
	body, err := protojson.MarshalOptions{Multiline: true}.Marshal(reply)
	if err != nil {
		return err
	}
	return os.WriteFile(d.Out, body, 0o644)
}

func (s *sign) run() error {
	reply := &wire.DraftReply{}
	if err := readProto(s.Draft, reply); err != nil {
		return err
	}
	shown, mishap := bundle.Open(reply.Sealed)
	if mishap != nil {
		return mishap
	}
	if !proto.Equal(shown, reply.Bundle) {
		return errors.New("the manifest does not fit the bundle shown")
	}
	key, err := readKey(s.Key)
	if err != nil {
		return err
	}
	bundle.Sign(reply.Sealed, key)
	body, err := protojson.Marshal(reply.Sealed)
	if err != nil {
		return err
	}
	return os.WriteFile(s.Out, body, 0o644)
}

func request(serial uint64, signed, change string, forsaken []string) (*wire.DraftRequest, error) {
	ask := &wire.DraftRequest{Base: serial, Forsaken: forsaken}
	if signed != "" {
		ask.Bundle = &wire.Bundle{}
		if err := readProto(signed, ask.Bundle); err != nil {
			return nil, err
		}
	}
	if change == "" && signed == "" && len(forsaken) > 0 {
		ask.Change = &wire.Change{DropMachines: forsaken}
	}
	if change != "" {
		ask.Change = &wire.Change{}
		if err := readProto(change, ask.Change); err != nil {
			return nil, err
		}
	}
	return ask, nil
}

func readKey(file string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(body)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s holds no private key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func readProto(file string, into proto.Message) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return badFile{errors.Wrap(err, file)}
	}
	return nil
}

func printProto(message proto.Message) error {
	body, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	var plain any
	if err := json.Unmarshal(body, &plain); err != nil {
		return err
	}
	body, err = json.MarshalIndent(plain, "", "  ")
	fmt.Println(string(body))
	return err
}
