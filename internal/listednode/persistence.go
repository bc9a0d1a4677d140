package listednode

import (
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

func (n *Node) loadProbabilities() {
	raw, err := n.scope.Disk.Read(probabilitiesFile)
	odds := &wire.Odds{}
	if err != nil {
		return
	}
	if err := storage.Unframe(raw, odds); err != nil {
		n.scope.Record("odds-bounced", "", "from disk: "+err.Error())
		return
	}
	n.updateProbabilities(odds)
}

func (n *Node) updateProbabilities(odds *wire.Odds) {
	if odds.GetSerial() <= n.sampler.Serial() {
		return
	}
	if fault := n.sampler.Load(odds); fault != nil {
		n.scope.Record("odds-bounced", "", fault.Error())
		return
	}
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Odds = odds.Serial })
	n.probabilitiesUnsaved.Notify()
}

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

func (n *Node) verifyBundle(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	if _, fault := n.tunables.Load().Trust.Verify(sealed); fault != nil {
		n.scope.Record("slice-bounced", "", fault.Error())
		return nil
	}
	raw, fault := bundle.Open(sealed)
	if fault != nil {
		n.scope.Record("slice-bounced", "", fault.Error())
		return nil
	}
	return bundle.Index(sealed, raw)
}

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
			odds := n.sampler.Odds()
			if odds == nil {
				return nil, nil
			}
			return storage.Frame(odds)
		})
	})
	group.Wait()
}

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
