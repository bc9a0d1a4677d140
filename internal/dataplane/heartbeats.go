package dataplane

import (
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// watchInstance reports each change of the local upstream to the controllers at once, without waiting for the next
// poll.
func (n *Node) watchInstance(s base.Scope) {
	_, _, reported := n.instance.Current()
	for s.Err() == nil {
		changed := n.instance.changed.Next()
		if _, _, revision := n.instance.Current(); revision != reported {
			reported = revision
			n.controlClient.StatusChanged()
		}
		base.Await(s, time.Minute, changed)
	}
}

// Heartbeat records a heartbeat of the local upstream. It returns a fault if a required field is missing, or if the
// upstream says that it is leaving and the control plane has not recorded that yet.
func (n *Node) Heartbeat(instance *wire.Instance) *base.Fault {
	fault := n.instance.Heartbeat(instance)
	n.peers.SetOwnStatus(n.nodeStatus())
	if fault != nil || !instance.Leaving {
		return fault
	}
	return n.recordDeparture(instance.Id)
}

// Leave records that the local upstream instance with the given ID has left. It returns a fault if the control plane
// has not recorded that yet.
func (n *Node) Leave(id string) *base.Fault {
	n.instance.Leave(id)
	n.peers.SetOwnStatus(n.nodeStatus())
	return n.recordDeparture(id)
}

// recordDeparture has the control plane record a departure, unless it has done so already. The instance gets no new
// requests from the moment on at which the node has heard of it; the record keeps that so after this process.
func (n *Node) recordDeparture(id string) *base.Fault {
	if n.instance.IsRecorded(id) {
		return nil
	}
	startedAt := n.scope.Clock.Mono()
	if fault := n.controlClient.RecordDeparture(n.scope, id); fault != nil {
		n.scope.Log.Warn("departure not acknowledged", "instance", id, "reason", fault.Reason)
		return fault
	}
	n.instance.MarkRecorded(id)
	n.scope.Log.Info("departure recorded", "instance", id, "took", n.scope.Clock.Mono()-startedAt)
	return nil
}
