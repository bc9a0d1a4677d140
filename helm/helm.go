package helm

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/kin"
	"curlewreach/lens"
	"curlewreach/pact"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
	"curlewreach/trove"
)

const (
	BundleKey   = "bundle"
	LearningKey = "learning"
	outcomesKep = 64
)

type Helm struct {
	scope  base.Scope
	self   string
	trove  *trove.Trove
	member *kin.Member
	traces *lens.Store
	trust  atomic.Pointer[pact.Trust]
	limits pact.Limits
	force  time.Duration
	mates  map[string]wireconnect.HelmClient
	lenses map[string]wireconnect.LensClient
	news   base.Bell
	index  base.Table[*pact.Bundle]
}

type Parts struct {
	Self    string
	Address string
	Mates   []trove.Mate
	Trove   *trove.Trove
	Member  *kin.Member
	Traces  *lens.Store
	Trust   pact.Trust
	Limits  pact.Limits
	Force   time.Duration
}

func New(s base.Scope, web *http.Client, parts Parts) *Helm {
	h := &Helm{
		scope: s, self: parts.Self, trove: parts.Trove, member: parts.Member, traces: parts.Traces,
		limits: parts.Limits, force: parts.Force,
		mates: map[string]wireconnect.HelmClient{}, lenses: map[string]wireconnect.LensClient{},
	}
	h.trust.Store(&parts.Trust)
	for _, mate := range parts.Mates {
		if mate.Address != parts.Address {
			h.mates[mate.Name] = wireconnect.NewHelmClient(web, "http://"+mate.Address)
		}
		h.lenses[mate.Name] = wireconnect.NewLensClient(web, "http://"+mate.Address)
	}
	return h
}

func (h *Helm) Run(s base.Scope) {
	var crew base.Crew
	crew.Go(func() { h.trove.Recover(s, h.force/8) })
	crew.Go(func() {
		base.Tick(s, h.force/8, func(s base.Scope) {
			if !h.trove.Ready() {
				return
			}
			base.All([]string{BundleKey, LearningKey}, func(key string) { h.trove.Refresh(s, key) })
		})
	})
	crew.Go(func() {
		for s.Err() == nil {
			heard := h.trove.News()
			if current := h.Current(); current != nil {
				h.member.Place(current.Machines())
				h.member.Change(func(roster *wire.Roster) { roster.Holding = current.Serial })
			}
			h.news.Ring()
			base.Await(s, h.force, heard)
		}
	})
	crew.Go(func() {
		for s.Err() == nil {
			heard := h.member.View().News()
			h.news.Ring()
			base.Await(s, h.force, heard)
		}
	})
	crew.Go(func() { h.learn(s) })
	crew.Wait()
}

func (h *Helm) Ready() bool { return h.trove.Ready() }

func headOf(value []byte) (*wire.Head, error) {
	head := &wire.Head{}
	return head, proto.Unmarshal(value, head)
}

func (h *Helm) Current() *pact.Bundle {
	entry, known := h.trove.Settled(BundleKey)
	if !known {
		return nil
	}
	return h.bundleOf(entry)
}

func (h *Helm) bundleOf(entry *wire.Entry) *pact.Bundle {
	head, err := headOf(entry.Value)
	if err != nil || head.Sealed == nil {
		return nil
	}
	if indexed, ok := h.index.Get(string(head.Sealed.Signature)); ok {
		return indexed
	}
	raw, mishap := pact.Open(head.Sealed)
	if mishap != nil {
		h.scope.Note("bundle-unreadable", "", mishap.Error())
		return nil
	}
	bundle := pact.Index(head.Sealed, raw)
	h.index.Change(func(rows map[string]*pact.Bundle) {
		clear(rows)
		rows[string(head.Sealed.Signature)] = bundle
	})
	return bundle
}

func (h *Helm) Draft(_ context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	current := &wire.Bundle{}
	if bundle := h.Current(); bundle != nil {
		current = bundle.Raw
	}
	if request.Base != current.Serial {
		return nil, base.Bounce(base.StaleBase, "base", "the newest serial is %d", current.Serial)
	}
	var next *wire.Bundle
	switch {
	case request.Bundle != nil && request.Change != nil:
		return nil, base.Bounce(base.Malformed, "change", "give a bundle or a change, not both")
	case request.Bundle != nil:
		next = proto.Clone(request.Bundle).(*wire.Bundle)
	case request.Change != nil:
		next = pact.Apply(current, request.Change)
	default:
		return nil, base.Bounce(base.Malformed, "bundle", "give a bundle or a change")
	}
	next.Base, next.Serial = request.Base, request.Base+1
	pact.Normalise(next, h.limits)
	if mishap := pact.Check(next, h.limits); mishap != nil {
		return nil, mishap
	}
	sealed, err := pact.Pack(next)
	if err != nil {
		return nil, err
	}
	return &wire.DraftReply{Bundle: next, Sealed: sealed, Difference: pact.Difference(current, next)}, nil
}

func bounced(submission string, mishap *base.Mishap) *wire.Outcome {
	return &wire.Outcome{Submission: submission, Verdict: wire.Verdict_BOUNCED, Mishap: &wire.Mishap{Kind: string(mishap.Kind), Path: mishap.Path, Reason: mishap.Reason}}
}

func (h *Helm) vet(request *wire.SignRequest) (*wire.Manifest, *base.Mishap) {
	if request.Submission == "" || len(request.Submission) > 128 {
		return nil, base.Bounce(base.Malformed, "submission", "a submission id of 1 to 128 bytes is needed")
	}
	if proto.Size(request.Sealed) > h.limits.Bytes {
		return nil, base.Bounce(base.TooLarge, "sealed", "%d bytes at most", h.limits.Bytes)
	}
	manifest, mishap := h.trust.Load().Verify(request.Sealed)
	if mishap != nil {
		return nil, mishap
	}
	if !pact.Whole(request.Sealed, manifest) {
		return nil, base.Bounce(base.Malformed, "sealed.parts", "parts are missing")
	}
	raw, mishap := pact.Open(request.Sealed)
	if mishap != nil {
		return nil, mishap
	}
	if manifest.Serial != manifest.Base+1 {
		return nil, base.Bounce(base.Malformed, "manifest.serial", "serial follows base by one")
	}
	return manifest, pact.Check(raw, h.limits)
}

func (h *Helm) Sign(ctx context.Context, request *wire.SignRequest) (*wire.Outcome, error) {
	manifest, mishap := h.vet(request)
	if mishap != nil {
		h.scope.Note("bundle-bounced", request.Submission, mishap.Error())
		return bounced(request.Submission, mishap), nil
	}
	return h.decide(ctx, request.Submission, func(head *wire.Head, serial uint64) (*wire.Head, *wire.Outcome) {
		if manifest.Base != serial {
			return nil, bounced(request.Submission, base.Bounce(base.StaleBase, "manifest.base", "the newest serial is %d", serial))
		}
		outcome := &wire.Outcome{Submission: request.Submission, Verdict: wire.Verdict_TAKEN, Serial: manifest.Serial}
		outcomes := append(slices.Clone(head.Outcomes), outcome)
		if over := len(outcomes) - outcomesKep; over > 0 {
			outcomes = outcomes[over:]
		}
		return &wire.Head{Sealed: request.Sealed, Outcomes: outcomes}, outcome
	}, request), nil
}

func (h *Helm) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return h.decide(ctx, submission, nil, &wire.SignRequest{Submission: submission}), nil
}

func (h *Helm) decide(ctx context.Context, submission string, next func(*wire.Head, uint64) (*wire.Head, *wire.Outcome), request *wire.SignRequest) *wire.Outcome {
	s, cancel := h.scope.Under(ctx).Within(h.force * 3 / 4)
	defer cancel()
	if owner, _, known := h.trove.Owner(BundleKey); known && !h.trove.Mine(BundleKey) && h.standingAt(owner.Address) == kin.Well {
		reply, err := h.mates[owner.Name].Propose(s, connect.NewRequest(&wire.ProposeRequest{Sign: request}))
		if err == nil {
			return reply.Msg.Outcome
		}
		h.scope.Note("owner-silent", owner.Name, err.Error())
	}
	return h.settle(s, submission, next)
}

func (h *Helm) standingAt(address string) string {
	for sighting := range h.member.View().All() {
		if sighting.Roster.Address == address {
			return sighting.Standing
		}
	}
	return kin.Absent
}

func (h *Helm) settle(s base.Scope, submission string, next func(*wire.Head, uint64) (*wire.Head, *wire.Outcome)) *wire.Outcome {
	unknown := &wire.Outcome{Submission: submission, Verdict: wire.Verdict_UNKNOWN}
	for s.Err() == nil {
		outcome := unknown
		err := h.look(s, submission, next, &outcome)
		if err == nil {
			h.scope.Note("bundle-"+outcome.Verdict.String(), submission, outcome.GetMishap().GetReason())
			return outcome
		}
		mishap := base.MishapOf(err)
		h.scope.Note("change-failed", submission, mishap.Error())
		if mishap.Kind != base.Outranked {
			unknown.Mishap = &wire.Mishap{Kind: string(mishap.Kind), Path: mishap.Path, Reason: mishap.Reason}
			return unknown
		}
		base.Await(s, time.Duration(float64(h.force)*(0.01+0.04*s.Rand.Float64())))
	}
	return unknown
}

func (h *Helm) look(s base.Scope, submission string, next func(*wire.Head, uint64) (*wire.Head, *wire.Outcome), outcome **wire.Outcome) error {
	find := func(value []byte) (*wire.Head, uint64, bool, error) {
		head, err := headOf(value)
		if err != nil {
			return nil, 0, false, err
		}
		for _, past := range head.Outcomes {
			if past.Submission == submission {
				*outcome = past
				return head, 0, true, nil
			}
		}
		manifest := &wire.Manifest{}
		if head.Sealed != nil {
			err = proto.Unmarshal(head.Sealed.Manifest, manifest)
		}
		return head, manifest.Serial, false, err
	}
	if next == nil {
		value, err := h.trove.Read(s, BundleKey)
		if err != nil {
			return err
		}
		if _, _, found, err := find(value); err != nil || found {
			return err
		}
		*outcome = bounced(submission, base.Bounce(base.Missing, "submission", "no such submission was taken"))
		return nil
	}
	return h.trove.Change(s, BundleKey, func(old []byte) ([]byte, error) {
		head, serial, found, err := find(old)
		if err != nil || found {
			return nil, err
		}
		changed, decided := next(head, serial)
		*outcome = decided
		if changed == nil {
			return nil, nil
		}
		return proto.Marshal(changed)
	})
}

func (h *Helm) Read(_ context.Context, serial uint64) (*wire.BundleReply, error) {
	current := h.Current()
	if current == nil {
		return nil, base.Bounce(base.Missing, "serial", "no bundle has been taken yet")
	}
	if serial == 0 || serial == current.Serial {
		return &wire.BundleReply{Serial: current.Serial, Bundle: current.Raw, Sealed: current.Sealed}, nil
	}
	for entry := range h.trove.Store().Past(BundleKey) {
		head, err := headOf(entry.Value)
		if err != nil || head.Sealed == nil {
			continue
		}
		raw, mishap := pact.Open(head.Sealed)
		if mishap == nil && raw.Serial == serial && serial < current.Serial {
			return &wire.BundleReply{Serial: serial, Bundle: raw, Sealed: head.Sealed}, nil
		}
	}
	return nil, base.Bounce(base.Missing, "serial", "serial %d is not kept here", serial)
}

func (h *Helm) Holdings(context.Context) *wire.HoldingsReply {
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
