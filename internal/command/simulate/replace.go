package simulate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	replaceSubcommand = "replace"
	// replaceTimeout bounds the time until a new controller votes, and then the time until the next
	// change is acknowledged.
	replaceTimeout = 4 * time.Second
	replacePoll    = 50 * time.Millisecond
	// plannedLead is how long the successor runs before the old controller is told to stop, in a
	// planned replacement.
	plannedLead = time.Second
)

// replaceArgs are the options of 'simulate replace'.
type replaceArgs struct {
	Rounds int    `arg:"--rounds" default:"6" help:"number of replacements, alternately after a loss and planned"`
	Nodes  int    `arg:"--nodes" default:"3" help:"number of application machines"`
	Folder string `arg:"--folder" help:"folder for params, data and logs; a temporary one if left out"`
	Log    string `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

// Description returns the text that --help shows first.
func (replaceArgs) Description() string {
	return "replaces the control machines of an open fleet one after the other, in real processes, and checks that each new one votes and that changes are still accepted"
}

// replaceRun is one run of the command.
type replaceRun struct {
	fleet       *openFleet
	controllers []*exec.Cmd // the processes of fleet.controllers
	serial      uint64      // newest serial acknowledged
	started     int         // controllers started so far
}

// replaceMain runs 'simulate replace'.
func replaceMain(arguments []string) error {
	args := &replaceArgs{}
	clean, err := parseCommand("curlew simulate replace", arguments, args, &args.Folder)
	if err != nil {
		return err
	}
	defer clean()
	fleet := &openFleet{openArgs: openArgs{Nodes: args.Nodes, Folder: args.Folder, Log: args.Log}}
	defer fleet.stopAll()
	if err := fleet.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := fleet.propose(ctx); err != nil {
		return err
	}
	run := &replaceRun{fleet: fleet, controllers: fleet.children[:openControllers:openControllers], serial: 1, started: openControllers}
	for round := range args.Rounds {
		if err := run.replace(ctx, round%2 == 1); err != nil {
			return err
		}
	}
	return nil
}

// replace replaces the oldest controller by one at a new address. A planned replacement starts the
// new one first and stops the old one with SIGTERM; otherwise the old one is killed first.
func (r *replaceRun) replace(ctx context.Context, planned bool) error {
	old, oldAddress, oldFolder := r.controllers[0], r.fleet.controllers[0], filepath.Join(r.fleet.Folder, fmt.Sprintf("core-%d", r.started-openControllers+1))
	how := "lost"
	if planned {
		how = "planned"
	} else if err := stopChild(old, syscall.SIGKILL); err != nil {
		return err
	}
	address, startTime, err := r.startController()
	if err != nil {
		return err
	}
	if planned {
		time.Sleep(plannedLead)
		startTime = time.Now()
		if err := stopChild(old, syscall.SIGTERM); err != nil {
			return err
		}
	}
	if err := os.RemoveAll(oldFolder); err != nil {
		return err
	}
	view, err := r.awaitVote(ctx, address, oldAddress)
	if err != nil {
		return err
	}
	voted := time.Since(startTime)
	if err := r.proposeChange(ctx, address); err != nil {
		return err
	}
	fmt.Printf("%-8s %s by %s: generation %d, votes after %d ms, serial %d acknowledged after %d ms\n",
		how, oldAddress, address, view.Generation, voted.Milliseconds(), r.serial, time.Since(startTime).Milliseconds())
	return nil
}

// stopChild signals a process and waits until it has ended.
func stopChild(child *exec.Cmd, signal os.Signal) error {
	if err := child.Process.Signal(signal); err != nil {
		return err
	}
	_ = child.Wait()
	return nil
}

// startController starts a controller at the next address. The oldest one is dropped from the seeds
// of later controllers.
func (r *replaceRun) startController() (address string, startTime time.Time, err error) {
	r.started++
	address = fmt.Sprintf("127.0.2.%d:%d", r.started, openPeersPort)
	name := fmt.Sprintf("core-%d", r.started)
	seeds := r.fleet.controllers
	startTime = time.Now()
	err = r.fleet.startChild(openControllerSubcommand, name, &wire.ControllerParams{
		Name: name, Zone: fmt.Sprintf("z%d", (r.started-1)%openControllers+1), Peers: address, Operators: fmt.Sprintf("127.0.2.%d:7005", r.started),
		Seeds: seeds, Folder: filepath.Join(r.fleet.Folder, name), Log: r.fleet.Log,
	})
	r.fleet.controllers = append(seeds[1:len(seeds):len(seeds)], address)
	r.controllers = append(r.controllers[1:], r.fleet.children[len(r.fleet.children)-1])
	return address, startTime, err
}

// awaitVote waits until the new controller votes and the old one doesn't.
func (r *replaceRun) awaitVote(ctx context.Context, address, old string) (*wire.ControllerView, error) {
	for started := time.Now(); time.Since(started) < replaceTimeout; time.Sleep(replacePoll) {
		view, err := controllerView(ctx, address)
		if err != nil || view.Phase != "founded" || len(view.Peers) != openControllers {
			continue
		}
		gone := true
		for _, voter := range view.Peers {
			gone = gone && voter.Address != old
		}
		if gone {
			return view, nil
		}
	}
	return nil, errors.Errorf("%s has not taken the place of %s within %s", address, old, replaceTimeout)
}

// controllerView asks a controller for its view.
func controllerView(ctx context.Context, address string) (*wire.ControllerView, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/view", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	view := &wire.ControllerView{}
	return view, decodeJSON(response.Body, view)
}

// proposeChange proposes a change to the new controller until it is acknowledged.
func (r *replaceRun) proposeChange(ctx context.Context, address string) error {
	service := "books"
	change := &wire.ConfigurationChange{Serial: r.serial + 1, Base: r.serial, Routes: []*wire.ConfigurationRoute{{
		Name: "search", Host: "open.example", Prefix: fmt.Sprintf("/search/%d/", r.serial), Repeat: wire.Repeat_REPEATABLE, CutoffMs: 2000, AimMs: 500, Tries: 2, Service: &service,
	}}}
	controller := wireconnect.NewMoorClient(http.DefaultClient, "http://"+address)
	for started := time.Now(); time.Since(started) < replaceTimeout; time.Sleep(replacePoll) {
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		outcome, err := controller.Propose(bounded, connect.NewRequest(&wire.ConfigurationProposal{Change: change}))
		cancel()
		if err != nil {
			continue
		}
		if outcome.Msg.Kind != "" {
			return errors.Errorf("serial %d was rejected: %v", change.Serial, outcome.Msg.Reasons)
		}
		r.serial++
		return nil
	}
	return errors.Errorf("serial %d was not acknowledged within %s", change.Serial, replaceTimeout)
}

// decodeJSON decodes protobuf JSON.
func decodeJSON(body io.Reader, into proto.Message) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(raw, into)
}
