package listednode

import (
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// loadProbabilities loads the sampling probabilities from disk, if there are valid ones.
func (n *Node) loadProbabilities() {
	raw, err := n.scope.Disk.Read(probabilitiesFile)
	probabilities := &wire.Odds{}
	if err != nil {
		return
	}
	if err := storage.Unframe(raw, probabilities); err != nil {
		n.scope.Record("odds-bounced", "", "from disk: "+err.Error())
		return
	}
	n.updateProbabilities(probabilities)
}

// updateProbabilities applies sampling probabilities that are newer than those in use, unless they are
// invalid.
func (n *Node) updateProbabilities(probabilities *wire.Odds) {
	if probabilities.GetSerial() <= n.sampler.Serial() {
		return
	}
	if fault := n.sampler.Update(probabilities); fault != nil {
		n.scope.Record("odds-bounced", "", fault.Error())
		return
	}
	n.member.UpdateStatus(func(status *wire.Roster) { status.Odds = probabilities.Serial })
	n.probabilitiesUnsaved.Notify()
}

// loadFromDisk loads the sampling probabilities and the bundle that the last process saved. The bundle is
// not in force before a majority confirms it.
func (n *Node) loadFromDisk() {
	n.loadProbabilities()
	raw, err := n.scope.Disk.Read(sliceFile)
	sealed := &wire.Sealed{}
	if err != nil || proto.Unmarshal(raw, sealed) != nil {
		return
	}
	if signed := n.verifyBundle(sealed); signed != nil {
		n.confirmations.SetFromDisk(signed)
		n.scope.Record("recalled", "", "a slice from disk, in force once a majority confirms it")
	}
}

// verifyBundle verifies, decodes and indexes a bundle. It returns nil, and records the fault, if that
// fails.
func (n *Node) verifyBundle(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	if _, fault := n.tunables.Load().Trust.Verify(sealed); fault != nil {
		n.scope.Record("slice-bounced", "", fault.Error())
		return nil
	}
	raw, fault := bundle.Decode(sealed)
	if fault != nil {
		n.scope.Record("slice-bounced", "", fault.Error())
		return nil
	}
	return bundle.Index(sealed, raw)
}

// saveChanges saves the bundle and the sampling probabilities after each change, if the process has a data
// folder.
func (n *Node) saveChanges(s base.Scope) {
	if !storage.HasFolder(n.scope.Disk) {
		return
	}
	var group base.Group
	group.Go(func() {
		n.saveOnChange(s, &n.bundleUnsaved, sliceFile, func() ([]byte, error) {
			signed := n.bundle.Load()
			if signed == nil {
				return nil, nil
			}
			return proto.Marshal(signed.Sealed)
		})
	})
	group.Go(func() {
		n.saveOnChange(s, &n.probabilitiesUnsaved, probabilitiesFile, func() ([]byte, error) {
			probabilities := n.sampler.Odds()
			if probabilities == nil {
				return nil, nil
			}
			return storage.Frame(probabilities)
		})
	})
	group.Wait()
}

// saveOnChange writes what encode returns to a file, at first, after each change and after an hour without
// one, until the scope ends. It writes nothing if encode returns nil.
func (n *Node) saveOnChange(s base.Scope, changed *base.Broadcast, file string, encode func() ([]byte, error)) {
	for s.Err() == nil {
		next := changed.Next()
		raw, err := encode()
		if err == nil && raw != nil {
			err = storage.WriteAtomically(n.scope.Disk, file, raw)
		}
		if err != nil {
			n.scope.Record(file+"-unkept", "", err.Error())
		}
		base.Await(s, time.Hour, next)
	}
}
