// Package listedcore is the control plane of fleets whose machines are listed in a
// signed configuration bundle. It has the process of a core machine, also called a
// controller (Process), its decisions (ControlPlane), and the operators' client
// (Client). A new bundle is replicated to a majority of the core machines' disks,
// staged at the nodes, and comes into force once a majority of the nodes has
// confirmed that they have it. docs/rollout.md compares the alternatives.
package listedcore

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/quorum"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// BundleKey is the key of the head in the replicated store: the bundle in
	// force, the bundle being rolled out, and the latest outcomes.
	BundleKey = "bundle"
	// LearningKey is the key of the learner's state in the replicated store.
	LearningKey = "learning"
	// maxOutcomes is the number of outcomes stored, so that a repeated submission
	// gets the outcome of the first one.
	maxOutcomes = 64
	// maxIndexedBundles is the size of the cache of indexed bundles: the one in
	// force, the staged one, and some earlier ones. A full cache is cleared.
	maxIndexedBundles = 4
	// newsHoldRatio is the time for which a node's long poll for news is held
	// open, as a fraction of the slide-back bound. So a node polls again within
	// that bound.
	newsHoldRatio = 0.3
	// patientHoldRatio is the same for polls that a node marks as patient, as a
	// fraction of the in-force bound. A node does so if enough other core machines
	// answer its polls sooner.
	patientHoldRatio = 0.125
)

// ControlPlane decides on submitted bundles and distributes them to the nodes. It is
// safe for concurrent use.
type ControlPlane struct {
	scope             base.Scope
	self              string
	replica           *quorum.Replica
	member            *membership.Member
	traces            *tracing.Store
	trust             atomic.Pointer[bundle.Trust]
	limits            bundle.Limits
	inForceBound      time.Duration
	requiredSilence   time.Duration
	startedAt         time.Duration
	peers             map[string]wireconnect.HelmClient
	traceClients      map[string]wireconnect.LensClient
	newsChanged       base.Broadcast
	indexedBundles    base.Table[*bundle.Bundle]
	chosenCache       atomic.Pointer[headView]
	acceptedCache     atomic.Pointer[headView]
	confirmations     base.Table[confirmation]
	confirmationAdded base.Broadcast
	newsHold          time.Duration
}

// Settings are the dependencies and parameters of a ControlPlane.
type Settings struct {
	Name            string
	Address         string
	Peers           []quorum.Peer
	ReplicatedStore *quorum.Replica
	Member          *membership.Member
	Traces          *tracing.Store
	Trust           bundle.Trust
	Limits          bundle.Limits
	// InForceBound is the longest that a submitted bundle may take to come into
	// force. Timeouts and intervals are fractions of it.
	InForceBound time.Duration
	// SlideBackBound is the longest that a node may rely on the confirmation that its
	// bundle is the newest one. A node's poll is held open for a fraction of it.
	SlideBackBound time.Duration
	// RequiredSilence is how long a machine must have been silent before a bundle
	// may declare it lost.
	RequiredSilence time.Duration
}

// New returns a ControlPlane. Its background work is done by Run.
func New(s base.Scope, httpClient *http.Client, settings Settings) *ControlPlane {
	c := &ControlPlane{
		scope: s, self: settings.Name, replica: settings.ReplicatedStore, member: settings.Member, traces: settings.Traces,
		limits: settings.Limits, inForceBound: settings.InForceBound, requiredSilence: settings.RequiredSilence, startedAt: s.Clock.Mono(), newsHold: time.Duration(float64(settings.SlideBackBound) * newsHoldRatio),
		peers: map[string]wireconnect.HelmClient{}, traceClients: map[string]wireconnect.LensClient{},
	}
	c.trust.Store(&settings.Trust)
	for _, peer := range settings.Peers {
		if peer.Address != settings.Address {
			c.peers[peer.Name] = wireconnect.NewHelmClient(httpClient, "http://"+peer.Address)
		}
		c.traceClients[peer.Name] = wireconnect.NewLensClient(httpClient, "http://"+peer.Address)
	}
	return c
}

// Run recovers the disk, completes interrupted changes and roll-outs, notifies nodes
// of changes, and runs the learner, until the scope ends.
func (c *ControlPlane) Run(s base.Scope) {
	var group base.Group
	group.Go(func() { c.replica.Recover(s, c.inForceBound/8) })
	for _, key := range []string{BundleKey, LearningKey} {
		group.Go(func() { c.watchKey(s, key) })
	}
	group.Go(func() {
		for s.Err() == nil {
			changed := c.replica.Changed()
			if current := c.Current(); current != nil {
				c.member.SetMachines(current.Machines())
				c.member.UpdateStatus(func(status *wire.Roster) { status.Holding = current.Serial })
			}
			c.newsChanged.Notify()
			base.Await(s, c.inForceBound, changed)
		}
	})
	group.Go(func() {
		for s.Err() == nil {
			changed := c.member.View().Changed()
			c.newsChanged.Notify()
			base.Await(s, c.inForceBound, changed)
		}
	})
	group.Go(func() { c.runLearning(s) })
	group.Go(func() { c.resolveAbandoned(s) })
	group.Wait()
}

// watchKey checks regularly whether the newest entry of a key is on a majority of
// disks. If it hasn't been for a while, the last owner may have failed during a
// change, and this machine reads the key under a new epoch, which completes the
// change. The wait is random, so that the machines don't compete to do so.
func (c *ControlPlane) watchKey(s base.Scope, key string) {
	lastChosen, recommitAfter := s.Clock.Mono(), c.inForceBound
	base.Tick(s, c.inForceBound/16, func(s base.Scope) {
		if !c.replica.Ready() || c.replica.Refresh(s, key) {
			lastChosen, recommitAfter = s.Clock.Mono(), time.Duration(float64(c.inForceBound)*(0.25+0.5*s.Rand.Float64()))
			return
		}
		if s.Clock.Mono()-lastChosen < recommitAfter {
			return
		}
		c.scope.Record("unsettled", key, "its newest change is on too few disks; reading it under a new epoch")
		callScope, cancel := s.WithTimeout(c.inForceBound)
		defer cancel()
		_, _ = c.replica.Read(callScope, key)
		lastChosen = s.Clock.Mono()
	})
}

// Sizes returns the number of rows in each table, to detect leaks.
func (c *ControlPlane) Sizes() map[string]int {
	return map[string]int{
		"confirms": len(c.confirmations.Snapshot()), "indexes": len(c.indexedBundles.Snapshot()), "journal": c.scope.Journal.Len(),
		"mates": c.member.View().Len(), "spans": c.traces.Len(), "owed": c.traces.PendingCopies(),
	}
}

// View returns what is known of the status of all machines.
func (c *ControlPlane) View() *membership.View { return c.member.View() }

// Ready reports whether this machine's disk has recovered.
func (c *ControlPlane) Ready() bool { return c.replica.Ready() }

// decodeHead decodes the value of BundleKey.
func decodeHead(value []byte) (*wire.Head, error) {
	head := &wire.Head{}
	return head, proto.Unmarshal(value, head)
}

// bundleSerial returns the serial in a bundle's manifest, or 0 if there is none.
func bundleSerial(sealed *wire.Sealed) uint64 {
	manifest := &wire.Manifest{}
	if sealed == nil || proto.Unmarshal(sealed.Manifest, manifest) != nil {
		return 0
	}
	return manifest.Serial
}

// headView is a decoded entry of BundleKey. Committed and staged are the serials of
// the bundle in force and of the one being rolled out, or 0.
type headView struct {
	entry     *wire.Entry
	head      *wire.Head
	committed uint64
	staged    uint64
}

// viewOf decodes an entry unless it is one of those decoded last. An entry that
// can't be decoded is treated as empty.
func (c *ControlPlane) viewOf(entry *wire.Entry) *headView {
	if entry == nil {
		return &headView{head: &wire.Head{}}
	}
	for _, cached := range []*atomic.Pointer[headView]{&c.chosenCache, &c.acceptedCache} {
		if known := cached.Load(); known != nil && known.entry == entry {
			return known
		}
	}
	head, err := decodeHead(entry.Value)
	if err != nil {
		c.scope.Record("bundle-unreadable", "", err.Error())
		head = &wire.Head{}
	}
	return &headView{entry: entry, head: head, committed: bundleSerial(head.Sealed), staged: bundleSerial(head.Staged)}
}

// Chosen returns the newest head that this machine knows to be on a majority of
// disks.
func (c *ControlPlane) Chosen() *headView {
	entry, _ := c.replica.Chosen(BundleKey)
	view := c.viewOf(entry)
	c.chosenCache.Store(view)
	return view
}

// Accepted returns the head on this machine's disk. It may not be on a majority of
// disks.
func (c *ControlPlane) Accepted() *headView {
	_, entry := c.replica.Store().Peek(BundleKey)
	view := c.viewOf(entry)
	c.acceptedCache.Store(view)
	return view
}

// Current returns the bundle in force, or nil before the first one.
func (c *ControlPlane) Current() *bundle.Bundle { return c.openBundle(c.Chosen().head.Sealed) }

// openBundle returns an indexed bundle, from the cache if it is there, or nil if the
// bundle can't be decoded.
func (c *ControlPlane) openBundle(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	key := string(sealed.Signature)
	if indexed, ok := c.indexedBundles.Get(key); ok {
		return indexed
	}
	raw, fault := bundle.Decode(sealed)
	if fault != nil {
		c.scope.Record("bundle-unreadable", "", fault.Error())
		return nil
	}
	opened := bundle.Index(sealed, raw)
	c.indexedBundles.Update(func(rows map[string]*bundle.Bundle) {
		if len(rows) >= maxIndexedBundles {
			clear(rows)
		}
		rows[key] = opened
	})
	return opened
}

// Draft returns the next bundle, unsigned, made from a whole bundle or from a change
// to the current one. The error is of kind StaleBase if the request isn't based on
// the current bundle, and otherwise describes the first fault found.
func (c *ControlPlane) Draft(_ context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	current := &wire.Bundle{}
	if inForce := c.Current(); inForce != nil {
		current = inForce.Raw
	}
	if request.Base != current.Serial {
		return nil, base.NewFault(base.StaleBase, "base", "the newest serial is %d", current.Serial)
	}
	var next *wire.Bundle
	switch {
	case request.Bundle != nil && request.Change != nil:
		return nil, base.NewFault(base.Malformed, "change", "give a bundle or a change, not both")
	case request.Bundle != nil:
		next = proto.Clone(request.Bundle).(*wire.Bundle)
	case request.Change != nil:
		next = bundle.Apply(current, request.Change)
	default:
		return nil, base.NewFault(base.Malformed, "bundle", "give a bundle or a change")
	}
	next.Base, next.Serial, next.Forsaken = request.Base, request.Base+1, request.Forsaken
	bundle.SetDefaults(next, c.limits)
	if fault := bundle.Check(next, c.limits); fault != nil {
		return nil, fault
	}
	sealed, err := bundle.Encode(next)
	if err != nil {
		return nil, err
	}
	return &wire.DraftReply{Bundle: next, Sealed: sealed, Difference: bundle.Diff(current, next)}, nil
}

// rejectedOutcome returns the outcome of a submission that was rejected because of a
// fault.
func rejectedOutcome(submission string, fault *base.Fault) *wire.Outcome {
	return &wire.Outcome{Submission: submission, Verdict: wire.Verdict_BOUNCED, Mishap: &wire.Mishap{Kind: string(fault.Kind), Path: fault.Path, Reason: fault.Reason}}
}

// validate checks the signature, completeness and content of a submission, and
// returns its manifest.
func (c *ControlPlane) validate(request *wire.SignRequest) (*wire.Manifest, *base.Fault) {
	if request.Submission == "" || len(request.Submission) > 128 {
		return nil, base.NewFault(base.Malformed, "submission", "a submission id of 1 to 128 bytes is needed")
	}
	if proto.Size(request.Sealed) > c.limits.Bytes {
		return nil, base.NewFault(base.TooLarge, "sealed", "%d bytes at most", c.limits.Bytes)
	}
	manifest, fault := c.trust.Load().Verify(request.Sealed)
	if fault != nil {
		return nil, fault
	}
	if !bundle.IsComplete(request.Sealed, manifest) {
		return nil, base.NewFault(base.Malformed, "sealed.parts", "parts are missing")
	}
	raw, fault := bundle.Decode(request.Sealed)
	if fault != nil {
		return nil, fault
	}
	if manifest.Serial != manifest.Base+1 {
		return nil, base.NewFault(base.Malformed, "manifest.serial", "serial follows base by one")
	}
	return manifest, bundle.Check(raw, c.limits)
}

// Read returns the bundle with a serial, or the one in force for 0. Older bundles are
// found only if they are still on this machine's disk.
func (c *ControlPlane) Read(_ context.Context, serial uint64) (*wire.BundleReply, error) {
	current := c.Current()
	if current == nil {
		return nil, base.NewFault(base.NotFound, "serial", "no bundle has been taken yet")
	}
	if serial == 0 || serial == current.Serial {
		return &wire.BundleReply{Serial: current.Serial, Bundle: current.Raw, Sealed: current.Sealed}, nil
	}
	for entry := range c.replica.Store().History(BundleKey) {
		head, err := decodeHead(entry.Value)
		if err != nil || head.Sealed == nil {
			continue
		}
		raw, fault := bundle.Decode(head.Sealed)
		if fault == nil && raw.Serial == serial && serial < current.Serial {
			return &wire.BundleReply{Serial: serial, Bundle: raw, Sealed: head.Sealed}, nil
		}
	}
	return nil, base.NewFault(base.NotFound, "serial", "serial %d is not kept here", serial)
}

// Holdings returns the serial of the bundle that each machine has, and the listed
// machines that have not been heard from.
func (c *ControlPlane) Holdings(context.Context) *wire.HoldingsReply {
	reply := &wire.HoldingsReply{}
	sightings := map[string]*wire.Sighting{}
	for sighting := range c.member.View().All() {
		sightings[sighting.Roster.Node] = sighting
		reply.Holdings = append(reply.Holdings, &wire.Holding{
			Node: sighting.Roster.Node, Serial: sighting.Roster.Holding, Odds: sighting.Roster.Odds, Standing: sighting.Standing,
		})
	}
	if current := c.Current(); current != nil {
		reply.Serial = current.Serial
		for machine := range current.Machines() {
			if sightings[machine.Name] == nil {
				reply.Silent = append(reply.Silent, machine.Name)
			}
		}
	}
	return reply
}
