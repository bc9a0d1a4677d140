package controlplane

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// maxDepartures bounds how many departures are kept, the newest of the whole fleet, about 40 bytes each. At 1,200
// instances replaced a day they reach back more than a day, and seven minutes while 16,000 instances are replaced
// within an hour; a heartbeat is late by seconds.
const maxDepartures = 2048

// departuresRead is the outcome of one read of the recorded departures.
type departuresRead struct {
	departures *wire.Departures
	confirmed  bool // by a majority
}

// RecordDeparture replies once a majority of disks holds the departure. It is safe to repeat at any control machine.
func (v rpcService) RecordDeparture(ctx context.Context, request *connect.Request[wire.RecordDepartureRequest]) (*connect.Response[wire.RecordDepartureReply], error) {
	m, departure := v.server, request.Msg.Departure
	if departure.GetInstance() == "" || departure.GetNodeAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "departure", "a departure names its instance and node"))
	}
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.NoState, "", "this control machine has not joined its peers")
	}
	if !m.heardMajorityRecently(c) {
		return nil, base.NewFault(base.Uncertain, "", "this control machine is cut off from the majority")
	}
	s, cancel := m.scope.WithContext(ctx).WithTimeout(ratioOf(m.params.Load().Ack, operatorTimeoutRatio))
	defer cancel()
	reply := m.routeDeparture(s, c, request.Msg)
	if reply == nil {
		m.scope.Log.Warn("departure not recorded", "instance", departure.Instance)
		return nil, base.NewFault(base.Uncertain, "", "whether the departure is recorded is not known yet")
	}
	return connect.NewResponse(reply), nil
}

// routeDeparture has the owner of the departures' register record a departure, or records it here. It returns nil if
// the outcome isn't known.
func (m *Server) routeDeparture(s base.Scope, c *core, request *wire.RecordDepartureRequest) *wire.RecordDepartureReply {
	if request.Relayed {
		return m.recordDeparture(s, c, request.Departure)
	}
	return runAtOwner(s, m, c, ownerOperation[wire.RecordDepartureReply]{
		key:   DeparturesKey,
		local: func() *wire.RecordDepartureReply { return m.recordDeparture(s, c, request.Departure) },
		forward: func(s base.Scope, peer string) *wire.RecordDepartureReply {
			return m.forwardDeparture(s, c, peer, request.Departure)
		},
	})
}

// forwardDeparture lets another control machine record a departure. It returns nil without a reply.
func (m *Server) forwardDeparture(s base.Scope, c *core, peer string, departure *wire.Departure) *wire.RecordDepartureReply {
	reply, err := c.peerClient(peer).RecordDeparture(s, connect.NewRequest(&wire.RecordDepartureRequest{Departure: departure, Relayed: true}))
	if err != nil {
		m.scope.Record("forward-failed", peer, err.Error())
		return nil
	}
	return reply.Msg
}

// recordDeparture has a majority of disks hold a departure. It returns nil if the scope ends first.
func (m *Server) recordDeparture(s base.Scope, c *core, departure *wire.Departure) (reply *wire.RecordDepartureReply) {
	m.retryChange(s, DeparturesKey, func() error {
		err := c.replica.Change(s, DeparturesKey, func(old []byte) ([]byte, error) { return addDeparture(old, departure) })
		if err == nil {
			reply = &wire.RecordDepartureReply{}
		}
		return err
	})
	return reply
}

// addDeparture returns the encoded departures with one more, without the oldest beyond maxDepartures. It returns nil
// if the departure is already among them.
func addDeparture(encoded []byte, departure *wire.Departure) ([]byte, error) {
	recorded := &wire.Departures{}
	if err := proto.Unmarshal(encoded, recorded); err != nil {
		return nil, err
	}
	for _, each := range recorded.Departures {
		if proto.Equal(each, departure) {
			return nil, nil
		}
	}
	recorded.Departures = append(recorded.Departures, departure)
	recorded.Departures = recorded.Departures[max(0, len(recorded.Departures)-maxDepartures):]
	return proto.Marshal(recorded)
}

// ListDepartures lists the departures recorded for one node. They are confirmed if a majority read that started after
// the request had arrived found no others; without a majority they are what this control machine knows.
func (v rpcService) ListDepartures(ctx context.Context, request *connect.Request[wire.ListDeparturesRequest]) (*connect.Response[wire.ListDeparturesReply], error) {
	m := v.server
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.NoState, "", "this control machine has not joined its peers")
	}
	read := m.departures.readAfter(m.scope.WithContext(ctx), m.departures.sequence(), func() departuresRead { return m.readDepartures(c) })
	reply := &wire.ListDeparturesReply{Confirmed: read.confirmed}
	for _, each := range read.departures.GetDepartures() {
		if each.NodeAddress == request.Msg.NodeAddress {
			reply.Instances = append(reply.Instances, each.Instance)
		}
	}
	return connect.NewResponse(reply), nil
}

// readDepartures reads the departures from a majority, or what is known here without one. It becomes the register's
// owner only if the newest version is on too few disks.
func (m *Server) readDepartures(c *core) departuresRead {
	s, cancel := m.scope.WithTimeout(ratioOf(m.params.Load().Ack, operatorTimeoutRatio))
	defer cancel()
	result := c.replica.QuorumRead(s, DeparturesKey)
	value, confirmed := c.replica.Chosen(DeparturesKey).GetValue(), false
	switch {
	case result.MajorityReplied && result.UpToDate:
		value, confirmed = result.Version.GetValue(), true
	case result.MajorityReplied:
		if newest, err := c.replica.Read(s, DeparturesKey); err == nil {
			value, confirmed = newest, true
		}
	}
	departures := &wire.Departures{}
	if err := proto.Unmarshal(value, departures); err != nil {
		m.scope.Record("departures-unreadable", DeparturesKey, err.Error())
		return departuresRead{}
	}
	return departuresRead{departures, confirmed}
}
