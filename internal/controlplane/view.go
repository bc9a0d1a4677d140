package controlplane

import (
	"context"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// view is a version of the configuration's register, decoded. It doesn't change, but for what is encoded of it.
type view struct {
	entry     *wire.Version
	head      *wire.ConfigurationHead
	transfers *transfers
}

func newView(entry *wire.Version, head *wire.ConfigurationHead) *view {
	return &view{entry: entry, head: head, transfers: newTransfers(head.GetConfiguration())}
}

// decode returns the view of a newer version, or the same if there is none or it can't be read.
func (v *view) decode(s base.Scope, entry *wire.Version) *view {
	if entry == nil || entry == v.entry {
		return v
	}
	if v.entry != nil && string(v.entry.Value) == string(entry.Value) {
		return &view{entry: entry, head: v.head, transfers: v.transfers}
	}
	head := &wire.ConfigurationHead{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		s.Record("configuration-unreadable", ConfigurationKey, err.Error())
		return v
	}
	return newView(entry, head)
}

// serial is the number of the configuration, 0 if there is none yet.
func (v *view) serial() uint64 { return v.head.GetConfiguration().GetSerial() }

// Configuration gives the newest acknowledged configuration as a majority of disks has it, or nil; it must not be changed.
func (m *Server) Configuration(ctx context.Context) (*wire.Configuration, error) {
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.NoState, "", "this control machine has not joined its peers")
	}
	s, cancel := m.scope.WithContext(ctx).WithTimeout(ratioOf(m.params.Load().Ack, callRatio))
	defer cancel()
	for {
		survey := c.replica.QuorumRead(s, ConfigurationKey)
		if !survey.MajorityReplied {
			return nil, base.NewFault(base.Unreachable, ConfigurationKey, "no majority of disks answered")
		}
		if survey.UpToDate {
			return m.view.Load().decode(s, survey.Version).head.GetConfiguration(), nil
		}
		value, err := c.replica.Read(s, ConfigurationKey)
		if err == nil {
			head := &wire.ConfigurationHead{}
			err = proto.Unmarshal(value, head)
			return head.Configuration, err
		}
		m.backOff(s)
		if s.Err() != nil {
			return nil, base.FaultOf(err)
		}
	}
}
