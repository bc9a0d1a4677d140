package listedcore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

const (
	// stageRatio, of the in-force bound, is how long a staged bundle may stand
	// before another machine resolves it.
	stageRatio = 0.5
	// confirmRatio, of the in-force bound, is how long nodes have to confirm a
	// staged bundle before it is withdrawn.
	confirmRatio = 0.5
	// pollRatio, of the in-force bound, is the pause between two looks at a
	// roll-out.
	pollRatio = 0.005
)

type confirm struct {
	serial uint64
	at     time.Duration
}

func (h *ControlPlane) confirm(ask *wire.NewsRequest) {
	serial := max(ask.Staged, ask.Serial)
	prior, known := h.confirms.Get(ask.Node)
	now := h.scope.Clock.Mono()
	h.confirms.Update(func(rows map[string]confirm) {
		rows[ask.Node] = confirm{serial: serial, at: now}
		maps.DeleteFunc(rows, func(_ string, each confirm) bool { return now-each.at > 2*h.silence })
	})
	if !known || serial > prior.serial {
		h.confirmed.Notify()
	}
}

func (h *ControlPlane) backing(current *bundle.Bundle, staged *configurationView) (have, need int) {
	serial, forsaken, left := staged.staged, forsakenBy(staged.head.Staged), 0
	for machine := range current.Machines() {
		if machine.Core || slices.Contains(forsaken, machine.Name) {
			continue
		}
		left++
		confirmed, known := h.confirms.Get(machine.Name)
		if known && confirmed.serial >= serial && h.scope.Clock.Mono()-confirmed.at < h.force/4 {
			have++
		}
	}
	if len(forsaken) == 0 {
		return have, current.ApplicationMachines()/2 + 1
	}
	if left == 0 {
		return 0, 0
	}
	return have, left/2 + 1
}

func forsakenBy(sealed *wire.Sealed) []string {
	manifest := &wire.Manifest{}
	if sealed == nil || proto.Unmarshal(sealed.Manifest, manifest) != nil {
		return nil
	}
	return manifest.Forsaken
}

func (h *ControlPlane) returned(forsaken []string) bool {
	return slices.ContainsFunc(forsaken, func(name string) bool {
		confirmed, known := h.confirms.Get(name)
		return known && h.scope.Clock.Mono()-confirmed.at < h.force
	})
}

func (h *ControlPlane) gone(ctx context.Context, forsaken []string) *base.Fault {
	current := h.Current()
	if len(forsaken) == 0 || current == nil {
		return nil
	}
	now := h.scope.Clock.Mono()
	if now-h.born < h.silence {
		return base.NewFault(base.Uncertain, "forsaken", "this keel has listened for less than %s", h.silence)
	}
	heard := map[string]time.Duration{}
	for sighting := range h.member.View().All() {
		heard[sighting.Roster.Node] = time.Duration(sighting.SilenceUs) * time.Microsecond
	}
	s, cancel := h.scope.WithContext(ctx).WithTimeout(h.force / 4)
	defer cancel()
	for i, name := range forsaken {
		path := fmt.Sprintf("forsaken[%d]", i)
		machine := current.Machine(name)
		if machine == nil || machine.Core {
			return base.NewFault(base.DanglingReference, path, "%q is no application machine of serial %d", name, current.Serial)
		}
		if silence, known := heard[name]; known && silence < h.silence {
			return base.NewFault(base.StillAlive, path, "%q was heard %s ago; %s of silence are needed", name, silence.Round(time.Millisecond), h.silence)
		}
		if confirmed, known := h.confirms.Get(name); known && now-confirmed.at < h.silence {
			return base.NewFault(base.StillAlive, path, "%q asked for news %s ago", name, (now - confirmed.at).Round(time.Millisecond))
		}
	}
	return h.answering(s, current, forsaken)
}

// answering returns an error if any of the machines still answers.
func (h *ControlPlane) answering(s base.Scope, current *bundle.Bundle, names []string) *base.Fault {
	var alive atomic.Pointer[string]
	base.Parallel(names, func(name string) {
		if h.member.Reachable(s, current.Machine(name).Address) {
			alive.Store(&name)
		}
	})
	if name := alive.Load(); name != nil {
		return base.NewFault(base.StillAlive, "forsaken", "%q still answers", *name)
	}
	return nil
}

// Submit decides on a signed bundle. An outcome of verdict UNKNOWN says that it
// isn't decided yet; the error is always nil.
func (h *ControlPlane) Submit(ctx context.Context, request *wire.SignRequest) (*wire.Outcome, error) {
	manifest, fault := h.vet(request)
	if fault != nil {
		h.scope.Record("bundle-bounced", request.Submission, fault.Error())
		return rejected(request.Submission, fault), nil
	}
	return h.decide(ctx, request, manifest), nil
}

// Status returns what became of a submission, and settles it if it was left
// midway.
func (h *ControlPlane) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return h.decide(ctx, &wire.SignRequest{Submission: submission}, nil), nil
}

func (h *ControlPlane) decide(ctx context.Context, request *wire.SignRequest, manifest *wire.Manifest) *wire.Outcome {
	s, cancel := h.scope.WithContext(ctx).WithTimeout(h.force * 2)
	defer cancel()
	if owner, _, known := h.store.Owner(BundleKey); known && !h.store.Owns(BundleKey) && h.store.HeardWithin(owner, h.force/2) {
		bounded, cancel := s.WithTimeout(h.force)
		reply, err := h.peers[owner.Name].Propose(bounded, connect.NewRequest(&wire.ProposeRequest{Sign: request}))
		cancel()
		if err == nil {
			return reply.Msg.Outcome
		}
		h.scope.Record("owner-silent", owner.Name, err.Error())
	}
	return h.settle(s, request, manifest)
}

func (h *ControlPlane) settle(s base.Scope, request *wire.SignRequest, manifest *wire.Manifest) *wire.Outcome {
	unknown := &wire.Outcome{Submission: request.Submission, Verdict: wire.Verdict_UNKNOWN}
	for s.Err() == nil {
		outcome, err := h.step(s, request, manifest)
		if err == nil && outcome != nil {
			h.scope.Record("bundle-"+outcome.Verdict.String(), request.Submission, outcome.GetMishap().GetReason())
			return outcome
		}
		pause := time.Duration(float64(h.force) * pollRatio)
		if err != nil {
			fault := base.FaultOf(err)
			h.scope.Record("change-failed", request.Submission, fault.Error())
			unknown.Mishap = &wire.Mishap{Kind: string(fault.Kind), Path: fault.Path, Reason: fault.Reason}
			pause = time.Duration(float64(pause) * (2 + 8*s.Rand.Float64()))
		}
		base.Await(s, pause, h.confirmed.Next())
	}
	return unknown
}

func (h *ControlPlane) step(s base.Scope, request *wire.SignRequest, manifest *wire.Manifest) (*wire.Outcome, error) {
	if manifest == nil {
		return h.lookUp(s, request.Submission)
	}
	if fault := h.gone(s, manifest.Forsaken); fault != nil {
		if past, err := h.lookUp(s, request.Submission); err == nil && past != nil && past.Verdict == wire.Verdict_TAKEN {
			return past, nil
		}
		return rejected(request.Submission, fault), nil
	}
	outcome, mine, err := h.stage(s, request, manifest.Base)
	if err != nil || outcome != nil {
		return outcome, err
	}
	if !mine {
		_, _ = h.resolve(s, false)
		return nil, nil
	}
	return h.resolve(s, true)
}

// stage makes the bundle handed in the staged one, unless the submission was
// decided already or another is staged. It reports whether the staged one is
// this submission's.
func (h *ControlPlane) stage(s base.Scope, request *wire.SignRequest, wanted uint64) (outcome *wire.Outcome, mine bool, err error) {
	err = h.store.Change(s, BundleKey, func(old []byte) ([]byte, error) {
		head, err := headOf(old)
		if err != nil {
			return nil, err
		}
		if outcome = past(head, request.Submission); outcome != nil {
			return nil, nil
		}
		if head.Staged != nil {
			mine = head.Submission == request.Submission
			return nil, nil
		}
		if committed := serialOf(head.Sealed); wanted != committed {
			outcome = rejected(request.Submission, base.NewFault(base.StaleBase, "manifest.base", "the newest serial is %d", committed))
			return nil, nil
		}
		mine = true
		next := &wire.Head{Sealed: head.Sealed, Outcomes: head.Outcomes, Staged: request.Sealed, Submission: request.Submission}
		if head.Sealed == nil {
			next = resolved(next, true)
			outcome = past(next, request.Submission)
		}
		return proto.Marshal(next)
	})
	return outcome, mine, err
}

func past(head *wire.Head, submission string) *wire.Outcome {
	for _, each := range head.Outcomes {
		if each.Submission == submission {
			return each
		}
	}
	return nil
}

func resolved(head *wire.Head, taken bool) *wire.Head {
	outcome := &wire.Outcome{Submission: head.Submission, Verdict: wire.Verdict_TAKEN, Serial: serialOf(head.Staged)}
	next := &wire.Head{Sealed: head.Staged}
	if !taken {
		outcome = rejected(head.Submission, base.NewFault(base.Unreachable, "", "too few machines confirmed it in time; it was withdrawn"))
		next.Sealed = head.Sealed
	}
	next.Outcomes = append(slices.Clone(head.Outcomes), outcome)
	if over := len(next.Outcomes) - outcomesKept; over > 0 {
		next.Outcomes = next.Outcomes[over:]
	}
	return next
}

func (h *ControlPlane) resolve(s base.Scope, asked bool) (outcome *wire.Outcome, err error) {
	staged := h.Chosen()
	if staged.staged == 0 {
		return nil, nil
	}
	current := h.Current()
	until := s.Clock.Mono() + time.Duration(float64(h.force)*confirmRatio)
	for {
		heard := h.confirmed.Next()
		have, need := h.backing(current, staged)
		late := s.Clock.Mono() >= until
		if have >= need || late {
			break
		}
		if base.Await(s, time.Duration(float64(h.force)*pollRatio), heard); s.Err() != nil {
			return nil, s.Err()
		}
	}
	have, need := h.backing(current, staged)
	if h.returned(forsakenBy(staged.head.Staged)) {
		have, need = 0, 1
	}
	h.scope.Record("roll-out", staged.head.Submission, fmt.Sprintf("backed by %d of %d needed", have, need))
	err = h.store.Change(s, BundleKey, func(old []byte) ([]byte, error) {
		head, err := headOf(old)
		if err != nil {
			return nil, err
		}
		if head.Submission != staged.head.Submission || serialOf(head.Staged) != staged.staged {
			outcome = past(head, staged.head.Submission)
			return nil, nil
		}
		next := resolved(head, have >= need)
		outcome = past(next, staged.head.Submission)
		return proto.Marshal(next)
	})
	if err != nil || !asked {
		return nil, err
	}
	return outcome, nil
}

func (h *ControlPlane) lookUp(s base.Scope, submission string) (*wire.Outcome, error) {
	value, err := h.store.Read(s, BundleKey)
	if err != nil {
		return nil, err
	}
	head, err := headOf(value)
	if err != nil {
		return nil, err
	}
	if outcome := past(head, submission); outcome != nil {
		return outcome, nil
	}
	if head.Staged != nil && head.Submission == submission {
		_, err := h.resolve(s, false)
		return nil, err
	}
	return rejected(submission, base.NewFault(base.NotFound, "submission", "no such submission was taken")), nil
}

func (h *ControlPlane) repair(s base.Scope) {
	var since time.Duration
	var last uint64
	for s.Err() == nil {
		base.Await(s, h.force/16)
		staged := h.Chosen().staged
		if staged != last {
			last, since = staged, s.Clock.Mono()
		}
		patience := time.Duration(float64(h.force) * (stageRatio + confirmRatio*(0.1+s.Rand.Float64())))
		if staged == 0 || s.Clock.Mono()-since < patience {
			continue
		}
		h.scope.Record("mending", "", "a roll-out was left unresolved")
		bounded, cancel := s.WithTimeout(h.force)
		_, _ = h.resolve(bounded, false)
		cancel()
		since = s.Clock.Mono()
	}
}
