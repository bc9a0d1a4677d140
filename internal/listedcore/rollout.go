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
	// stagedTimeoutRatio, of the in-force bound, is how long a staged bundle may stand
	// before another machine resolves it.
	stagedTimeoutRatio = 0.5
	// confirmTimeoutRatio, of the in-force bound, is how long nodes have to confirm a
	// staged bundle before it is withdrawn.
	confirmTimeoutRatio = 0.5
	// pollIntervalRatio, of the in-force bound, is the pause between two looks at a
	// roll-out.
	pollIntervalRatio = 0.005
)

type confirmation struct {
	serial uint64
	at     time.Duration
}

func (c *ControlPlane) recordConfirmation(request *wire.NewsRequest) {
	serial := max(request.Staged, request.Serial)
	prior, known := c.confirmations.Get(request.Node)
	now := c.scope.Clock.Mono()
	c.confirmations.Update(func(rows map[string]confirmation) {
		rows[request.Node] = confirmation{serial: serial, at: now}
		maps.DeleteFunc(rows, func(_ string, each confirmation) bool { return now-each.at > 2*c.requiredSilence })
	})
	if !known || serial > prior.serial {
		c.confirmationAdded.Notify()
	}
}

func (c *ControlPlane) countConfirmations(current *bundle.Bundle, staged *headView) (have, need int) {
	serial, lost, remaining := staged.staged, lostMachines(staged.head.Staged), 0
	for machine := range current.Machines() {
		if machine.Core || slices.Contains(lost, machine.Name) {
			continue
		}
		remaining++
		confirmed, known := c.confirmations.Get(machine.Name)
		if known && confirmed.serial >= serial && c.scope.Clock.Mono()-confirmed.at < c.inForceBound/4 {
			have++
		}
	}
	if len(lost) == 0 {
		return have, current.Vanes()/2 + 1
	}
	if remaining == 0 {
		return 0, 0
	}
	return have, remaining/2 + 1
}

func lostMachines(sealed *wire.Sealed) []string {
	manifest := &wire.Manifest{}
	if sealed == nil || proto.Unmarshal(sealed.Manifest, manifest) != nil {
		return nil
	}
	return manifest.Forsaken
}

func (c *ControlPlane) anyHeard(lost []string) bool {
	return slices.ContainsFunc(lost, func(name string) bool {
		confirmed, known := c.confirmations.Get(name)
		return known && c.scope.Clock.Mono()-confirmed.at < c.inForceBound
	})
}

func (c *ControlPlane) checkLost(ctx context.Context, lost []string) *base.Fault {
	current := c.Current()
	if len(lost) == 0 || current == nil {
		return nil
	}
	now := c.scope.Clock.Mono()
	if now-c.startedAt < c.requiredSilence {
		return base.NewFault(base.Uncertain, "forsaken", "this keel has listened for less than %s", c.requiredSilence)
	}
	heard := map[string]time.Duration{}
	for sighting := range c.member.View().All() {
		heard[sighting.Roster.Node] = time.Duration(sighting.SilenceUs) * time.Microsecond
	}
	s, cancel := c.scope.WithContext(ctx).WithTimeout(c.inForceBound / 4)
	defer cancel()
	for i, name := range lost {
		path := fmt.Sprintf("forsaken[%d]", i)
		machine := current.Machine(name)
		if machine == nil || machine.Core {
			return base.NewFault(base.DanglingReference, path, "%q is no application machine of serial %d", name, current.Serial)
		}
		if silence, known := heard[name]; known && silence < c.requiredSilence {
			return base.NewFault(base.StillAlive, path, "%q was heard %s ago; %s of silence are needed", name, silence.Round(time.Millisecond), c.requiredSilence)
		}
		if confirmed, known := c.confirmations.Get(name); known && now-confirmed.at < c.requiredSilence {
			return base.NewFault(base.StillAlive, path, "%q asked for news %s ago", name, (now - confirmed.at).Round(time.Millisecond))
		}
	}
	return c.checkUnreachable(s, current, lost)
}

// checkUnreachable returns an error if any of the machines still answers.
func (c *ControlPlane) checkUnreachable(s base.Scope, current *bundle.Bundle, names []string) *base.Fault {
	var alive atomic.Pointer[string]
	base.Parallel(names, func(name string) {
		if c.member.Reachable(s, current.Machine(name).Address) {
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
func (c *ControlPlane) Submit(ctx context.Context, request *wire.SignRequest) (*wire.Outcome, error) {
	manifest, fault := c.validate(request)
	if fault != nil {
		c.scope.Record("bundle-bounced", request.Submission, fault.Error())
		return rejectedOutcome(request.Submission, fault), nil
	}
	return c.decide(ctx, request, manifest), nil
}

// Status returns what became of a submission, and settles it if it was left
// midway.
func (c *ControlPlane) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return c.decide(ctx, &wire.SignRequest{Submission: submission}, nil), nil
}

func (c *ControlPlane) decide(ctx context.Context, request *wire.SignRequest, manifest *wire.Manifest) *wire.Outcome {
	s, cancel := c.scope.WithContext(ctx).WithTimeout(c.inForceBound * 2)
	defer cancel()
	if owner, _, known := c.replica.Owner(BundleKey); known && !c.replica.Owns(BundleKey) && c.replica.HeardWithin(owner, c.inForceBound/2) {
		bounded, cancel := s.WithTimeout(c.inForceBound)
		reply, err := c.peers[owner.Name].Propose(bounded, connect.NewRequest(&wire.ProposeRequest{Sign: request}))
		cancel()
		if err == nil {
			return reply.Msg.Outcome
		}
		c.scope.Record("owner-silent", owner.Name, err.Error())
	}
	return c.decideLocally(s, request, manifest)
}

func (c *ControlPlane) decideLocally(s base.Scope, request *wire.SignRequest, manifest *wire.Manifest) *wire.Outcome {
	unknown := &wire.Outcome{Submission: request.Submission, Verdict: wire.Verdict_UNKNOWN}
	for s.Err() == nil {
		outcome, err := c.tryDecide(s, request, manifest)
		if err == nil && outcome != nil {
			c.scope.Record("bundle-"+outcome.Verdict.String(), request.Submission, outcome.GetMishap().GetReason())
			return outcome
		}
		pause := time.Duration(float64(c.inForceBound) * pollIntervalRatio)
		if err != nil {
			fault := base.FaultOf(err)
			c.scope.Record("change-failed", request.Submission, fault.Error())
			unknown.Mishap = &wire.Mishap{Kind: string(fault.Kind), Path: fault.Path, Reason: fault.Reason}
			pause = time.Duration(float64(pause) * (2 + 8*s.Rand.Float64()))
		}
		base.Await(s, pause, c.confirmationAdded.Next())
	}
	return unknown
}

func (c *ControlPlane) tryDecide(s base.Scope, request *wire.SignRequest, manifest *wire.Manifest) (*wire.Outcome, error) {
	if manifest == nil {
		return c.lookUpOutcome(s, request.Submission)
	}
	if fault := c.checkLost(s, manifest.Forsaken); fault != nil {
		if decided, err := c.lookUpOutcome(s, request.Submission); err == nil && decided != nil && decided.Verdict == wire.Verdict_TAKEN {
			return decided, nil
		}
		return rejectedOutcome(request.Submission, fault), nil
	}
	outcome, own, err := c.stage(s, request, manifest.Base)
	if err != nil || outcome != nil {
		return outcome, err
	}
	if !own {
		_, _ = c.resolve(s, false)
		return nil, nil
	}
	return c.resolve(s, true)
}

// stage makes the bundle handed in the staged one, unless the submission was
// decided already or another is staged. It reports whether the staged one is
// this submission's.
func (c *ControlPlane) stage(s base.Scope, request *wire.SignRequest, baseSerial uint64) (outcome *wire.Outcome, own bool, err error) {
	err = c.replica.Change(s, BundleKey, func(old []byte) ([]byte, error) {
		head, err := decodeHead(old)
		if err != nil {
			return nil, err
		}
		if outcome = findOutcome(head, request.Submission); outcome != nil {
			return nil, nil
		}
		if head.Staged != nil {
			own = head.Submission == request.Submission
			return nil, nil
		}
		if committed := bundleSerial(head.Sealed); baseSerial != committed {
			outcome = rejectedOutcome(request.Submission, base.NewFault(base.StaleBase, "manifest.base", "the newest serial is %d", committed))
			return nil, nil
		}
		own = true
		next := &wire.Head{Sealed: head.Sealed, Outcomes: head.Outcomes, Staged: request.Sealed, Submission: request.Submission}
		if head.Sealed == nil {
			next = resolvedHead(next, true)
			outcome = findOutcome(next, request.Submission)
		}
		return proto.Marshal(next)
	})
	return outcome, own, err
}

func findOutcome(head *wire.Head, submission string) *wire.Outcome {
	for _, each := range head.Outcomes {
		if each.Submission == submission {
			return each
		}
	}
	return nil
}

func resolvedHead(head *wire.Head, taken bool) *wire.Head {
	outcome := &wire.Outcome{Submission: head.Submission, Verdict: wire.Verdict_TAKEN, Serial: bundleSerial(head.Staged)}
	next := &wire.Head{Sealed: head.Staged}
	if !taken {
		outcome = rejectedOutcome(head.Submission, base.NewFault(base.Unreachable, "", "too few machines confirmed it in time; it was withdrawn"))
		next.Sealed = head.Sealed
	}
	next.Outcomes = append(slices.Clone(head.Outcomes), outcome)
	if over := len(next.Outcomes) - maxOutcomes; over > 0 {
		next.Outcomes = next.Outcomes[over:]
	}
	return next
}

func (c *ControlPlane) resolve(s base.Scope, returnOutcome bool) (outcome *wire.Outcome, err error) {
	staged := c.Chosen()
	if staged.staged == 0 {
		return nil, nil
	}
	current := c.Current()
	deadline := s.Clock.Mono() + time.Duration(float64(c.inForceBound)*confirmTimeoutRatio)
	for {
		confirmed := c.confirmationAdded.Next()
		have, need := c.countConfirmations(current, staged)
		timedOut := s.Clock.Mono() >= deadline
		if have >= need || timedOut {
			break
		}
		if base.Await(s, time.Duration(float64(c.inForceBound)*pollIntervalRatio), confirmed); s.Err() != nil {
			return nil, s.Err()
		}
	}
	have, need := c.countConfirmations(current, staged)
	if c.anyHeard(lostMachines(staged.head.Staged)) {
		have, need = 0, 1
	}
	c.scope.Record("roll-out", staged.head.Submission, fmt.Sprintf("backed by %d of %d needed", have, need))
	err = c.replica.Change(s, BundleKey, func(old []byte) ([]byte, error) {
		head, err := decodeHead(old)
		if err != nil {
			return nil, err
		}
		if head.Submission != staged.head.Submission || bundleSerial(head.Staged) != staged.staged {
			outcome = findOutcome(head, staged.head.Submission)
			return nil, nil
		}
		next := resolvedHead(head, have >= need)
		outcome = findOutcome(next, staged.head.Submission)
		return proto.Marshal(next)
	})
	if err != nil || !returnOutcome {
		return nil, err
	}
	return outcome, nil
}

func (c *ControlPlane) lookUpOutcome(s base.Scope, submission string) (*wire.Outcome, error) {
	value, err := c.replica.Read(s, BundleKey)
	if err != nil {
		return nil, err
	}
	head, err := decodeHead(value)
	if err != nil {
		return nil, err
	}
	if outcome := findOutcome(head, submission); outcome != nil {
		return outcome, nil
	}
	if head.Staged != nil && head.Submission == submission {
		_, err := c.resolve(s, false)
		return nil, err
	}
	return rejectedOutcome(submission, base.NewFault(base.NotFound, "submission", "no such submission was taken")), nil
}

func (c *ControlPlane) resolveAbandoned(s base.Scope) {
	var stagedSince time.Duration
	var lastStaged uint64
	for s.Err() == nil {
		base.Await(s, c.inForceBound/16)
		staged := c.Chosen().staged
		if staged != lastStaged {
			lastStaged, stagedSince = staged, s.Clock.Mono()
		}
		resolveAfter := time.Duration(float64(c.inForceBound) * (stagedTimeoutRatio + confirmTimeoutRatio*(0.1+s.Rand.Float64())))
		if staged == 0 || s.Clock.Mono()-stagedSince < resolveAfter {
			continue
		}
		c.scope.Record("mending", "", "a roll-out was left unresolved")
		bounded, cancel := s.WithTimeout(c.inForceBound)
		_, _ = c.resolve(bounded, false)
		cancel()
		stagedSince = s.Clock.Mono()
	}
}
