package dataplane

// maxPastInstances is how many past instances a node remembers. One instance at a time is beside a node, so the oldest
// can't be heard of again.
const maxPastInstances = 64

// pastInstance is what a node knows of an instance that is leaving, gone or replaced.
type pastInstance struct {
	// departed is set if the instance is leaving or gone; it gets no requests any more. Otherwise another instance
	// has replaced it.
	departed bool
	// recorded is set if the control plane has recorded the departure.
	recorded bool
	// sequence is the number of the newest heartbeat of an instance that was replaced.
	sequence uint64
}

// pastInstances holds the instances that were beside a node. An acknowledgement of a departure is a promise of the
// fleet: it is given only for a recorded one, and a node that has just started learns of those that earlier processes
// had recorded before it believes any heartbeat.
type pastInstances struct {
	byID  map[string]*pastInstance
	order []string // IDs, the oldest first
	// complete is set once the recorded departures of earlier processes of the node are known.
	complete bool
}

func newPastInstances() *pastInstances { return &pastInstances{byID: map[string]*pastInstance{}} }

// entry returns the entry of an instance and adds one if there is none.
func (p *pastInstances) entry(id string) *pastInstance {
	entry := p.byID[id]
	if entry != nil {
		return entry
	}
	entry = &pastInstance{}
	p.byID[id] = entry
	p.order = append(p.order, id)
	if len(p.order) > maxPastInstances {
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
	return entry
}

// depart remembers that an instance is leaving or gone. A recorded departure stays recorded.
func (p *pastInstances) depart(id string, recorded bool) {
	entry := p.entry(id)
	entry.departed, entry.recorded = true, entry.recorded || recorded
}

// replace remembers that another instance has taken the place of one whose newest heartbeat had the given number.
func (p *pastInstances) replace(id string, sequence uint64) { p.entry(id).sequence = sequence }

// departed reports whether an instance is leaving or gone.
func (p *pastInstances) departed(id string) bool {
	entry := p.byID[id]
	return entry != nil && entry.departed
}

// isRecorded reports whether the control plane has recorded the departure of an instance.
func (p *pastInstances) isRecorded(id string) bool {
	entry := p.byID[id]
	return entry != nil && entry.recorded
}

// replacedAt returns the number of the newest heartbeat of an instance before it was replaced. known is false if the
// instance was never beside this node.
func (p *pastInstances) replacedAt(id string) (sequence uint64, known bool) {
	entry := p.byID[id]
	if entry == nil {
		return 0, false
	}
	return entry.sequence, true
}
