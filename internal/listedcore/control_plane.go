// Package listedcore is the control plane of fleets of listed machines: the core
// machine's process (Process), what it decides (ControlPlane), and the operators' client
// (Client). A signed bundle is agreed by a majority of core disks, staged at the
// nodes, and in force once a majority of them has confirmed it. docs/rollout.md
// has the ways weighed.
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
	// BundleKey is the stored key of the bundle, with the one being rolled out
	// and the newest outcomes.
	BundleKey = "bundle"
	// LearningKey is the stored key of what was learned.
	LearningKey = "learning"
	// outcomesKept is the number of outcomes remembered, for submissions handed
	// in again.
	outcomesKept = 64
	// indexesKept is the number of bundles kept indexed: the one in force, the
	// staged one, and some that were read.
	indexesKept = 4
	// holdRatio, of the slide-back bound, is how long a node's question for
	// news is held open, so that it asks again within the bound.
	holdRatio = 0.3
	// patientRatio, of the in-force bound, is the same for nodes that say they
	// are patient.
	patientRatio = 0.125
)

// ControlPlane decides on bundles and hands them out. It is safe for concurrent use.
type ControlPlane struct {
	scope     base.Scope
	self      string
	store     *quorum.Replica
	member    *membership.Member
	traces    *tracing.Store
	trust     atomic.Pointer[bundle.Trust]
	limits    bundle.Limits
	force     time.Duration
	silence   time.Duration
	born      time.Duration
	peers     map[string]wireconnect.HelmClient
	lenses    map[string]wireconnect.LensClient
	news      base.Broadcast
	index     base.Table[*bundle.Bundle]
	settled   atomic.Pointer[configurationView]
	accepted  atomic.Pointer[configurationView]
	confirms  base.Table[confirm]
	confirmed base.Broadcast
	hold      time.Duration
}

// Settings are what a ControlPlane works with.
type Settings struct {
	Name            string
	Address         string
	Peers           []quorum.Peer
	ReplicatedStore *quorum.Replica
	Member          *membership.Member
	Traces          *tracing.Store
	Trust           bundle.Trust
	Limits          bundle.Limits
	// InForceBound is the bound on a bundle being in force, Slide that on going back,
	// and Silence the time a machine must be silent before it can be forsaken.
	InForceBound    time.Duration
	SlideBackBound  time.Duration
	RequiredSilence time.Duration
}

// New returns a ControlPlane; Run makes it work.
func New(s base.Scope, web *http.Client, parts Settings) *ControlPlane {
	h := &ControlPlane{
		scope: s, self: parts.Name, store: parts.ReplicatedStore, member: parts.Member, traces: parts.Traces,
		limits: parts.Limits, force: parts.InForceBound, silence: parts.RequiredSilence, born: s.Clock.Mono(), hold: time.Duration(float64(parts.SlideBackBound) * holdRatio),
		peers: map[string]wireconnect.HelmClient{}, lenses: map[string]wireconnect.LensClient{},
	}
	h.trust.Store(&parts.Trust)
	for _, peer := range parts.Peers {
		if peer.Address != parts.Address {
			h.peers[peer.Name] = wireconnect.NewHelmClient(web, "http://"+peer.Address)
		}
		h.lenses[peer.Name] = wireconnect.NewLensClient(web, "http://"+peer.Address)
	}
	return h
}

// Run recovers the disk, settles what was left unsettled, and learns, until the
// scope ends.
func (h *ControlPlane) Run(s base.Scope) {
	var crew base.Group
	crew.Go(func() { h.store.Recover(s, h.force/8) })
	for _, key := range []string{BundleKey, LearningKey} {
		crew.Go(func() { h.watch(s, key) })
	}
	crew.Go(func() {
		for s.Err() == nil {
			heard := h.store.Changed()
			if current := h.Current(); current != nil {
				h.member.SetMachines(current.Machines())
				h.member.UpdateStatus(func(registry *wire.Roster) { registry.Holding = current.Serial })
			}
			h.news.Notify()
			base.Await(s, h.force, heard)
		}
	})
	crew.Go(func() {
		for s.Err() == nil {
			heard := h.member.View().Changed()
			h.news.Notify()
			base.Await(s, h.force, heard)
		}
	})
	crew.Go(func() { h.learn(s) })
	crew.Go(func() { h.repair(s) })
	crew.Wait()
}

func (h *ControlPlane) watch(s base.Scope, key string) {
	since, patience := s.Clock.Mono(), h.force
	base.Tick(s, h.force/16, func(s base.Scope) {
		if !h.store.Ready() || h.store.Refresh(s, key) {
			since, patience = s.Clock.Mono(), time.Duration(float64(h.force)*(0.25+0.5*s.Rand.Float64()))
			return
		}
		if s.Clock.Mono()-since < patience {
			return
		}
		h.scope.Record("unsettled", key, "its newest change is on too few disks; reading it under a new epoch")
		bounded, cancel := s.WithTimeout(h.force)
		defer cancel()
		_, _ = h.store.Read(bounded, key)
		since = s.Clock.Mono()
	})
}

// Sizes returns how many rows each table holds, to watch for leaks.
func (h *ControlPlane) Sizes() map[string]int {
	return map[string]int{
		"confirms": len(h.confirms.Snapshot()), "indexes": len(h.index.Snapshot()), "journal": h.scope.Journal.Len(),
		"mates": h.member.View().Len(), "spans": h.traces.Len(), "owed": h.traces.PendingCopies(),
	}
}

// View returns what is known of the machines.
func (h *ControlPlane) View() *membership.View { return h.member.View() }

// Ready reports whether this machine's disk has recovered.
func (h *ControlPlane) Ready() bool { return h.store.Ready() }

func headOf(value []byte) (*wire.Head, error) {
	head := &wire.Head{}
	return head, proto.Unmarshal(value, head)
}

func serialOf(sealed *wire.Sealed) uint64 {
	manifest := &wire.Manifest{}
	if sealed == nil || proto.Unmarshal(sealed.Manifest, manifest) != nil {
		return 0
	}
	return manifest.Serial
}

type configurationView struct {
	entry     *wire.Entry
	head      *wire.Head
	committed uint64
	staged    uint64
}

func (h *ControlPlane) outline(entry *wire.Entry) *configurationView {
	if entry == nil {
		return &configurationView{head: &wire.Head{}}
	}
	for _, row := range []*atomic.Pointer[configurationView]{&h.settled, &h.accepted} {
		if known := row.Load(); known != nil && known.entry == entry {
			return known
		}
	}
	head, err := headOf(entry.Value)
	if err != nil {
		h.scope.Record("bundle-unreadable", "", err.Error())
		head = &wire.Head{}
	}
	return &configurationView{entry: entry, head: head, committed: serialOf(head.Sealed), staged: serialOf(head.Staged)}
}

// Chosen returns the newest head known to be on a majority of disks.
func (h *ControlPlane) Chosen() *configurationView {
	entry, _ := h.store.Chosen(BundleKey)
	seen := h.outline(entry)
	h.settled.Store(seen)
	return seen
}

// Accepted returns the head on this machine's disk, which a majority may lack.
func (h *ControlPlane) Accepted() *configurationView {
	_, entry := h.store.Store().Peek(BundleKey)
	seen := h.outline(entry)
	h.accepted.Store(seen)
	return seen
}

// Current returns the bundle in force, nil before the first.
func (h *ControlPlane) Current() *bundle.Bundle { return h.bundleOf(h.Chosen().head.Sealed) }

func (h *ControlPlane) bundleOf(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	key := string(sealed.Signature)
	if indexed, ok := h.index.Get(key); ok {
		return indexed
	}
	raw, fault := bundle.Decode(sealed)
	if fault != nil {
		h.scope.Record("bundle-unreadable", "", fault.Error())
		return nil
	}
	signed := bundle.Index(sealed, raw)
	h.index.Update(func(rows map[string]*bundle.Bundle) {
		if len(rows) >= indexesKept {
			clear(rows)
		}
		rows[key] = signed
	})
	return signed
}

// Draft makes the next bundle out of a whole one or a change. The error is of
// kind StaleBase if the base isn't the newest, or tells the first fault.
func (h *ControlPlane) Draft(_ context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	current := &wire.Bundle{}
	if signed := h.Current(); signed != nil {
		current = signed.Raw
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
	bundle.SetDefaults(next, h.limits)
	if fault := bundle.Check(next, h.limits); fault != nil {
		return nil, fault
	}
	sealed, err := bundle.Encode(next)
	if err != nil {
		return nil, err
	}
	return &wire.DraftReply{Bundle: next, Sealed: sealed, Difference: bundle.Diff(current, next)}, nil
}

func rejected(submission string, fault *base.Fault) *wire.Outcome {
	return &wire.Outcome{Submission: submission, Verdict: wire.Verdict_BOUNCED, Mishap: &wire.Mishap{Kind: string(fault.Kind), Path: fault.Path, Reason: fault.Reason}}
}

func (h *ControlPlane) vet(request *wire.SignRequest) (*wire.Manifest, *base.Fault) {
	if request.Submission == "" || len(request.Submission) > 128 {
		return nil, base.NewFault(base.Malformed, "submission", "a submission id of 1 to 128 bytes is needed")
	}
	if proto.Size(request.Sealed) > h.limits.Bytes {
		return nil, base.NewFault(base.TooLarge, "sealed", "%d bytes at most", h.limits.Bytes)
	}
	manifest, fault := h.trust.Load().Verify(request.Sealed)
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
	return manifest, bundle.Check(raw, h.limits)
}

// Read returns the bundle of a serial number, or the newest for 0; of older
// ones, those still on this disk.
func (h *ControlPlane) Read(_ context.Context, serial uint64) (*wire.BundleReply, error) {
	current := h.Current()
	if current == nil {
		return nil, base.NewFault(base.NotFound, "serial", "no bundle has been taken yet")
	}
	if serial == 0 || serial == current.Serial {
		return &wire.BundleReply{Serial: current.Serial, Bundle: current.Raw, Sealed: current.Sealed}, nil
	}
	for entry := range h.store.Store().History(BundleKey) {
		head, err := headOf(entry.Value)
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

// Holdings returns which node holds which bundle, and the machines never heard.
func (h *ControlPlane) Holdings(context.Context) *wire.HoldingsReply {
	reply := &wire.HoldingsReply{}
	heard := map[string]*wire.Sighting{}
	for sighting := range h.member.View().All() {
		heard[sighting.Roster.Node] = sighting
		reply.Holdings = append(reply.Holdings, &wire.Holding{
			Node: sighting.Roster.Node, Serial: sighting.Roster.Holding, Odds: sighting.Roster.Odds, Standing: sighting.Standing,
		})
	}
	if current := h.Current(); current != nil {
		reply.Serial = current.Serial
		for machine := range current.Machines() {
			if heard[machine.Name] == nil {
				reply.Silent = append(reply.Silent, machine.Name)
			}
		}
	}
	return reply
}
