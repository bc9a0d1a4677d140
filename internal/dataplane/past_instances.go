package dataplane

// maxDepartures is how many instances a node remembers as leaving or gone. One instance at a time is beside a node, so
// the oldest can't be heard of again.
const maxDepartures = 64

// departures holds the instances beside a node that are leaving or gone, and which of them the control plane has
// recorded. An acknowledgement of a departure is a promise of the fleet: it is given only for a recorded one, and a
// node that has just started learns of those that earlier processes had recorded before it believes any heartbeat.
type departures struct {
	recorded map[string]bool // by instance ID
	order    []string        // the oldest first
	// complete is set once the departures of earlier processes of the node are known.
	complete bool
}

func newDepartures() *departures { return &departures{recorded: map[string]bool{}} }

// add remembers a departure. A recorded one stays recorded.
func (d *departures) add(id string, recorded bool) {
	wasRecorded, known := d.recorded[id]
	d.recorded[id] = recorded || wasRecorded
	if known {
		return
	}
	d.order = append(d.order, id)
	if len(d.order) > maxDepartures {
		delete(d.recorded, d.order[0])
		d.order = d.order[1:]
	}
}

// has reports whether an instance is leaving or gone.
func (d *departures) has(id string) bool {
	_, known := d.recorded[id]
	return known
}

// isRecorded reports whether the control plane has recorded the departure of an instance.
func (d *departures) isRecorded(id string) bool { return d.recorded[id] }
