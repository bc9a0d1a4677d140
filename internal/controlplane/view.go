package controlplane

import (
	"context"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

type view struct {
	entry *wire.Version
	head  *wire.ChartHead
}

func (v *view) next(s base.Scope, entry *wire.Version) *view {
	if entry == nil || entry == v.entry {
		return v
	}
	if v.entry != nil && string(v.entry.Value) == string(entry.Value) {
		return &view{entry: entry, head: v.head}
	}
	head := &wire.ChartHead{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		s.Note("chart-unreadable", ChartKey, err.Error())
		return v
	}
	return &view{entry: entry, head: head}
}

func (v *view) serial() uint64 { return v.head.GetChart().GetSerial() }

// Chart gives the newest acknowledged chart as a majority of disks has it, or nil; it must not be changed.
func (m *Server) Chart(ctx context.Context) (*wire.Chart, error) {
	c := m.core.Load()
	if c == nil {
		return nil, base.Bounce(base.Amnesiac, "", "this control machine has not joined its peers")
	}
	s, cancel := m.scope.Under(ctx).Within(part(m.params.Load().Ack, callRatio))
	defer cancel()
	for {
		survey := c.replica.Survey(s, ChartKey)
		if !survey.Agreed {
			return nil, base.Bounce(base.Unreachable, ChartKey, "no majority of disks answered")
		}
		if survey.Settled {
			return m.view.Load().next(s, survey.Version).head.GetChart(), nil
		}
		value, err := c.replica.Read(s, ChartKey)
		if err == nil {
			head := &wire.ChartHead{}
			err = proto.Unmarshal(value, head)
			return head.Chart, err
		}
		m.pause(s)
		if s.Err() != nil {
			return nil, base.MishapOf(err)
		}
	}
}
