package listednode

import (
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

func (n *Node) recallOdds() {
	raw, err := n.scope.Disk.Read(oddsFile)
	odds := &wire.Odds{}
	if err != nil {
		return
	}
	if err := storage.Unframe(raw, odds); err != nil {
		n.scope.Record("odds-bounced", "", "from disk: "+err.Error())
		return
	}
	n.load(odds)
}

func (n *Node) load(odds *wire.Odds) {
	if odds.GetSerial() <= n.keeper.Serial() {
		return
	}
	if fault := n.keeper.Update(odds); fault != nil {
		n.scope.Record("odds-bounced", "", fault.Error())
		return
	}
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Odds = odds.Serial })
	n.keptOdds.Notify()
}

func (n *Node) recall() {
	n.recallOdds()
	raw, err := n.scope.Disk.Read(sliceFile)
	sealed := &wire.Sealed{}
	if err != nil || proto.Unmarshal(raw, sealed) != nil {
		return
	}
	if signed := n.open(sealed); signed != nil {
		n.claims.SetFromDisk(signed)
		n.scope.Record("recalled", "", "a slice from disk, in force once a majority confirms it")
	}
}

func (n *Node) open(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	if _, fault := n.dials.Load().Trust.Verify(sealed); fault != nil {
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

func (n *Node) remember(s base.Scope) {
	if !storage.HasFolder(n.scope.Disk) {
		return
	}
	var crew base.Group
	crew.Go(func() {
		n.keepEach(s, &n.kept, sliceFile, func() ([]byte, error) {
			signed := n.slice.Load()
			if signed == nil {
				return nil, nil
			}
			return proto.Marshal(signed.Sealed)
		})
	})
	crew.Go(func() {
		n.keepEach(s, &n.keptOdds, oddsFile, func() ([]byte, error) {
			odds := n.keeper.Odds()
			if odds == nil {
				return nil, nil
			}
			return storage.Frame(odds)
		})
	})
	crew.Wait()
}

func (n *Node) keepEach(s base.Scope, bell *base.Broadcast, file string, body func() ([]byte, error)) {
	for s.Err() == nil {
		heard := bell.Next()
		raw, err := body()
		if err == nil && raw != nil {
			err = storage.WriteAtomically(n.scope.Disk, file, raw)
		}
		if err != nil {
			n.scope.Record(file+"-unkept", "", err.Error())
		}
		base.Await(s, time.Hour, heard)
	}
}
