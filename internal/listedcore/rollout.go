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
	// stagedTimeoutRatio is how long a bundle may be staged before any core machine
	// resolves the roll-out, as a fraction of the in-force bound.
	stagedTimeoutRatio = 0.5
	// confirmTimeoutRatio is how long nodes have to confirm a staged bundle before
	// it is withdrawn, as a fraction of the in-force bound.
	confirmTimeoutRatio = 0.5
	// pollIntervalRatio is the interval between two checks of a roll-out, as a
	// fraction of the in-force bound.
	pollIntervalRatio = 0.005
)

// confirmation is the newest serial, staged or in force, that a node had at its last
// poll, and the time of that poll.
type confirmation struct {
	serial uint64
	at     time.Duration
}

// recordConfirmation records which bundle a polling node has. It removes the records of
// nodes that have not polled for twice the required silence.
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

// countConfirmations returns how many application machines of the current bundle have
// confirmed the staged one, or a later one, within the last quarter of the in-force
// bound, and how many are needed: a majority. Machines that the staged bundle declares
// lost are left out of both counts; if no others remain, none is needed.
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
		return have, current.ApplicationMachines()/2 + 1
	}
	if remaining == 0 {
		return 0, 0
	}
	return have, remaining/2 + 1
}

// lostMachines returns the names of the machines that a bundle's manifest declares
// permanently lost, in the field forsaken. They don't count in the roll-out.
func lostMachines(sealed *wire.Sealed) []string {
	manifest := &wire.Manifest{}
	if sealed == nil || proto.Unmarshal(sealed.Manifest, manifest) != nil {
		return nil
	}
	return manifest.Forsaken
}

// anyHeard reports whether any of the machines polled within the in-force bound before
// now.
func (c *ControlPlane) anyHeard(lost []string) bool {
	return slices.ContainsFunc(lost, func(name string) bool {
		confirmed, known := c.confirmations.Get(name)
		return known && c.scope.Clock.Mono()-confirmed.at < c.inForceBound
	})
}

// checkLost returns a fault unless all machines declared lost are application
// machines of the current bundle that have been silent for the required time and
// don't reply now. The fault is of kind Uncertain if this process has not been
// running for that time.
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

// checkUnreachable returns a fault if any of the machines replies to a request.
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

// Submit validates a signed bundle, rolls it out and returns the outcome. The verdict
// UNKNOWN means that there is no decision yet. The error is always nil.
func (c *ControlPlane) Submit(ctx context.Context, request *wire.SignRequest) (*wire.Outcome, error) {
	manifest, fault := c.validate(request)
	if fault != nil {
		c.scope.Record("bundle-bounced", request.Submission, fault.Error())
		return rejectedOutcome(request.Submission, fault), nil
	}
	return c.decide(ctx, request, manifest), nil
}

// Status returns the outcome of a submission. If its roll-out was interrupted, Status
// resolves it. The error is always nil.
func (c *ControlPlane) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return c.decide(ctx, &wire.SignRequest{Submission: submission}, nil), nil
}

// decide forwards a submission to the owner of BundleKey if that machine has replied
// lately. Otherwise, or if the call fails, it decides here, which makes this machine
// the owner. A nil manifest asks for the outcome of an earlier submission.
func (c *ControlPlane) decide(ctx context.Context, request *wire.SignRequest, manifest *wire.Manifest) *wire.Outcome {
	s, cancel := c.scope.WithContext(ctx).WithTimeout(c.inForceBound * 2)
	defer cancel()
	if owner, _, known := c.replica.Owner(BundleKey); known && !c.replica.Owns(BundleKey) && c.replica.HeardWithin(owner, c.inForceBound/2) {
		callScope, cancel := s.WithTimeout(c.inForceBound)
		reply, err := c.peers[owner.Name].Propose(callScope, connect.NewRequest(&wire.ProposeRequest{Sign: request}))
		cancel()
		if err == nil {
			return reply.Msg.Outcome
		}
		c.scope.Record("owner-silent", owner.Name, err.Error())
	}
	return c.decideLocally(s, request, manifest)
}

// decideLocally retries a submission until there is an outcome or the scope ends. The
// pause after an error is random, so that machines competing for the ownership of
// the key don't keep superseding each other.
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

// tryDecide makes one attempt to stage and resolve a submission. If another one is
// staged, it resolves that first and returns no outcome. A repeated submission that
// was accepted keeps its outcome even if a machine it declares lost is back.
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

// stage stores the submitted bundle as the staged one, unless the submission has an
// outcome already or another bundle is staged. It reports whether the staged bundle
// belongs to this submission. The first bundle of a fleet comes into force at once,
// since there is no bundle in force that lists the nodes to confirm it.
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

// findOutcome returns the outcome of a submission, or nil if the head has none.
func findOutcome(head *wire.Head, submission string) *wire.Outcome {
	for _, each := range head.Outcomes {
		if each.Submission == submission {
			return each
		}
	}
	return nil
}

// resolvedHead returns the head after the roll-out of its staged bundle, with the
// bundle in force if taken, or else withdrawn. The outcome is added.
func resolvedHead(head *wire.Head, taken bool) *wire.Head {
	outcome := &wire.Outcome{Submission: head.Submission, Verdict: wire.Verdict_TAKEN, Serial: bundleSerial(head.Staged)}
	next := &wire.Head{Sealed: head.Staged}
	if !taken {
		outcome = rejectedOutcome(head.Submission, base.NewFault(base.Unreachable, "", "too few machines confirmed it in time; it was withdrawn"))
		next.Sealed = head.Sealed
	}
	next.Outcomes = append(slices.Clone(head.Outcomes), outcome)
	if excess := len(next.Outcomes) - maxOutcomes; excess > 0 {
		next.Outcomes = next.Outcomes[excess:]
	}
	return next
}

// resolve waits until enough nodes have confirmed the staged bundle or the time for
// that is over, and then puts the bundle in force or withdraws it. It is withdrawn
// in any case if a machine that it declares lost has polled. If returnOutcome is
// false, the outcome returned is nil.
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

// lookUpOutcome returns the outcome of an earlier submission. If its bundle is still
// staged, it resolves the roll-out and returns nil.
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

// resolveAbandoned resolves roll-outs that have been staged for too long, since the
// machine that began them may have failed. The wait is random, so that the machines
// don't all do so at once.
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
		callScope, cancel := s.WithTimeout(c.inForceBound)
		_, _ = c.resolve(callScope, false)
		cancel()
		stagedSince = s.Clock.Mono()
	}
}
