package main

// Stress is the side of the system that a day puts most load on.
type Stress string

const (
	// StressNone draws every kind with the same weight.
	StressNone Stress = "none"
	// StressControl favours events on core machines, disks, clocks and configuration.
	StressControl Stress = "control"
	// StressRequests favours events on requests, upstreams and connections.
	StressRequests Stress = "requests"
	// StressConfig draws changes of the configuration throughout the day, and events that delay their distribution to the
	// nodes after the acknowledgement.
	StressConfig Stress = "config"
)

// stresses lists all values of Stress.
var stresses = []Stress{StressNone, StressControl, StressRequests, StressConfig}

// Range bounds a number drawn from a uniform distribution. The zero Range leaves the field out.
type Range struct{ Low, High float64 }

// IntRange bounds an integer drawn from a uniform distribution. Both ends are included.
type IntRange struct{ Low, High int }

// Targeting says which words of 'how' choose the machines of an entry and what follows on them.
type Targeting struct {
	// Roles allows the words leader, reader and seed.
	Roles bool
	// FollowUps allows the words meet, race, hard and drain, after a role.
	FollowUps bool
	// CutStyles allows the words reset and refuse.
	CutStyles bool
}

// Place says which fields of an entry may name a place.
type Place struct {
	Zone, ToZone, Service, Class bool
}

// Kind describes a kind of event: its fields, the ranges that they are drawn from, and its weights.
type Kind struct {
	Name    string
	Section Section
	// Contract must be in force at a site for the kind to be accepted there. If empty, the kind is accepted everywhere.
	Contract string
	// OnCore means that the entry affects core machines.
	OnCore bool
	// Variants are alternatives for 'how', one of which is drawn.
	Variants []string
	// Modifiers are words that may be added to 'how', independently of each other.
	Modifiers []string
	Targeting Targeting
	Place     Place
	Count     IntRange
	// CountUpToTolerated draws the count from 1 to the number of core machines whose loss the site tolerates.
	CountUpToTolerated bool
	Share, X           Range
	ForS, GapS         Range
	// LongForS replaces ForS on days that stress the control side.
	LongForS Range
	// Series is the number of successive entries of the kind on days that stress the control side.
	Series IntRange
	// ControlWeight and RequestWeight are the weights of the kind on days that stress that side. 0 counts as 1.
	ControlWeight, RequestWeight int
	// ConfigWeight is the weight of the kind on days that stress the configuration. With 0 it isn't drawn there.
	ConfigWeight int
	// OnlyStress restricts the kind to days of one stress. If empty, it is drawn on all.
	OnlyStress Stress
}

const (
	coreClass      = "core"
	heavyWeight    = 8
	raisedWeight   = 4
	contractPool   = "pool"
	contractHealth = "health"
)

// catalogue lists each kind of event, in the order of the bench's own list. A kind that may affect core machines as well
// as others has two entries.
var catalogue = []Kind{
	{Name: "burst", Section: Faults, X: Range{1.3, 2}, ForS: Range{2, 5}, Place: Place{Zone: true, Class: true}, RequestWeight: raisedWeight, ConfigWeight: 1},
	{Name: "shift", Section: Faults, Share: Range{.3, .6}, ForS: Range{4, 8}, Place: Place{Zone: true, ToZone: true}},
	{Name: "retry_abuse", Section: Faults, Share: Range{.2, .6}, X: Range{1, 3}, ForS: Range{3, 8}, RequestWeight: heavyWeight},
	{Name: "give_up", Section: Faults, Share: Range{.2, .6}, X: Range{60, 300}, ForS: Range{3, 8}, RequestWeight: heavyWeight},
	{Name: "srv_crash", Section: Faults, Share: Range{.08, .25}, ForS: Range{2, 6}, Variants: []string{"", "dark"}, Modifiers: []string{"across", "all"}, Place: Place{Service: true}, RequestWeight: raisedWeight},
	{Name: "srv_crash", Section: Faults, Share: Range{.08, .25}, ForS: Range{2, 6}, Variants: []string{"gone", "dark gone"}, Modifiers: []string{"across"}, Place: Place{Service: true}, RequestWeight: raisedWeight},
	{Name: "srv_slow", Section: Faults, Share: Range{.1, .25}, X: Range{3, 6}, ForS: Range{4, 8}, Modifiers: []string{"across", "all"}, Place: Place{Service: true}, RequestWeight: raisedWeight},
	{Name: "srv_grey", Section: Faults, Contract: contractHealth, Share: Range{.08, .25}, X: Range{.2, .7}, ForS: Range{4, 8}, Variants: []string{"errors", "shed", "busy", "hang", "reset", "mute"}, Modifiers: []string{"one_zone", "across"}, Place: Place{Service: true, ToZone: true}, RequestWeight: heavyWeight},
	{Name: "srv_grey", Section: Faults, Contract: contractHealth, Share: Range{.08, .25}, X: Range{4, 10}, ForS: Range{4, 8}, Variants: []string{"slow"}, Modifiers: []string{"one_zone", "across"}, Place: Place{Service: true, ToZone: true}, RequestWeight: raisedWeight},
	{Name: "srv_lying_health", Section: Faults, Contract: contractHealth, Share: Range{.08, .25}, ForS: Range{4, 8}, Variants: []string{"errors", "hang", "reset", "bad"}, Place: Place{Service: true}, RequestWeight: raisedWeight},
	{Name: "srv_flap", Section: Faults, Contract: contractHealth, Share: Range{.06, .2}, ForS: Range{4, 8}, GapS: Range{.8, 2}, Place: Place{Service: true}, RequestWeight: raisedWeight},
	{Name: "release", Section: Plan, Share: Range{.3, .55}, X: Range{1, 3}, GapS: Range{.7, 1.3}},
	{Name: "replace_with_reuse", Section: Faults, Share: Range{.12, .25}, Variants: []string{"", "drain", "dark"}, RequestWeight: raisedWeight},
	{Name: "scale_in", Section: Plan, Share: Range{.08, .16}, Variants: []string{"", "spot"}},
	{Name: "scale_out", Section: Plan, Share: Range{.2, .4}, GapS: Range{1, 3}},
	{Name: "idle_race", Section: Faults, Contract: contractPool, Share: Range{.3, .6}, X: Range{200, 400}, ForS: Range{4, 8}, RequestWeight: heavyWeight},
	{Name: "answer_lost", Section: Faults, Share: Range{.3, .6}, X: Range{.01, .06}, ForS: Range{4, 8}, Variants: []string{"", "reset"}, Place: Place{Service: true}, RequestWeight: heavyWeight},
	{Name: "garble", Section: Faults, Share: Range{.3, .6}, X: Range{.01, .04}, ForS: Range{4, 8}, Variants: []string{"", "extra", "extra late"}, Place: Place{Service: true}, RequestWeight: heavyWeight},
	{Name: "node_kill", Section: Faults, Share: Range{.08, .25}, ForS: Range{1, 5}, Variants: []string{"", "power"}, RequestWeight: raisedWeight},
	{Name: "node_kill", Section: Faults, OnCore: true, CountUpToTolerated: true, ForS: Range{1, 5}, Variants: []string{"", "power"}, Targeting: Targeting{Roles: true, FollowUps: true}, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "node_freeze", Section: Faults, Share: Range{.08, .2}, ForS: Range{1, 6}, RequestWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "node_freeze", Section: Faults, OnCore: true, CountUpToTolerated: true, ForS: Range{1, 8}, Targeting: Targeting{Roles: true, FollowUps: true}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "node_slow", Section: Faults, Share: Range{.08, .2}, X: Range{3, 8}, ForS: Range{2, 6}, RequestWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "node_slow", Section: Faults, OnCore: true, CountUpToTolerated: true, X: Range{3, 8}, ForS: Range{2, 8}, Targeting: Targeting{Roles: true}, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "roll_term", Section: Plan, Share: Range{.3, .6}, X: Range{1, 1}, GapS: Range{1, 1.5}, Modifiers: []string{"busy"}, RequestWeight: raisedWeight, ConfigWeight: heavyWeight},
	{Name: "roll_term", Section: Plan, Share: Range{.08, .2}, X: Range{1, 1}, GapS: Range{1, 1.5}, Variants: []string{"remove"}, Modifiers: []string{"busy"}},
	{Name: "roll_term", Section: Plan, OnCore: true, Share: Range{.4, 1}, X: Range{1, 1}, GapS: Range{1, 3}, Modifiers: []string{"busy"}, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "herd_kill", Section: Faults, Share: Range{.45, .65}, ForS: Range{1, 3}, Variants: []string{"", "power"}, ConfigWeight: raisedWeight},
	{Name: "herd_kill", Section: Faults, OnCore: true, ForS: Range{1, 3}, Variants: []string{"", "power", "taken", "power taken"}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "replace_core", Section: Faults, X: Range{.5, 4}, Targeting: Targeting{Roles: true}, Series: IntRange{1, 3}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "replace_core", Section: Plan, X: Range{.5, 4}, Variants: []string{"planned"}, Targeting: Targeting{Roles: true}, Series: IntRange{1, 3}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "seed_turnover", Section: Plan, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "after_ack_kill", Section: Faults, CountUpToTolerated: true, ForS: Range{1, 4}, Variants: []string{"", "kill"}, Modifiers: []string{"timed", "taken"}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "after_ack_wipe", Section: Faults, CountUpToTolerated: true, ForS: Range{1, 4}, Variants: []string{"", "timed", "taken"}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "disk_slow", Section: Faults, CountUpToTolerated: true, X: Range{20, 60}, ForS: Range{3, 8}, Targeting: Targeting{Roles: true}, ControlWeight: raisedWeight, ConfigWeight: 1},
	{Name: "disk_full", Section: Faults, CountUpToTolerated: true, ForS: Range{3, 8}, Targeting: Targeting{Roles: true}, ControlWeight: raisedWeight, ConfigWeight: 1},
	{Name: "disk_stall", Section: Faults, CountUpToTolerated: true, ForS: Range{2, 8}, Targeting: Targeting{Roles: true}, ControlWeight: raisedWeight, ConfigWeight: 1},
	{Name: "clock_step", Section: Faults, Share: Range{.15, .5}, X: Range{1000, 5000}, ForS: Range{3, 8}, Variants: []string{"", "back", "ahead"}, Targeting: Targeting{Roles: true}, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "hup", Section: Plan, Share: Range{.2, .6}, GapS: Range{1, 3}, RequestWeight: raisedWeight, ConfigWeight: heavyWeight},
	{Name: "reset_conns", Section: Faults, Share: Range{.1, .5}, X: Range{.3, .9}, RequestWeight: heavyWeight, ConfigWeight: raisedWeight},
	{Name: "reset_conns", Section: Faults, OnCore: true, Share: Range{.3, 1}, X: Range{.3, .9}, ControlWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "core_cut", Section: Faults, CountUpToTolerated: true, ForS: Range{3, 7}, LongForS: Range{16, 20}, Variants: []string{"", "one_way", "seeds", "both"}, Targeting: Targeting{Roles: true, FollowUps: true, CutStyles: true}, ControlWeight: heavyWeight},
	{Name: "core_cut", Section: Faults, OnlyStress: StressConfig, CountUpToTolerated: true, ForS: Range{3, 18}, Variants: []string{"", "one_way", "seeds", "both", "oldest", "behind", "split", "lure", "relieve", "near"}, ConfigWeight: 3 * heavyWeight},
	{Name: "node_cut", Section: Faults, Share: Range{.08, .25}, ForS: Range{3, 8}, Variants: []string{"", "servers"}, Targeting: Targeting{CutStyles: true}, RequestWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "lossy", Section: Faults, X: Range{.01, .05}, ForS: Range{3, 8}, Place: Place{Zone: true}, RequestWeight: raisedWeight, ConfigWeight: raisedWeight},
	{Name: "config_change", Section: Plan, Variants: []string{"route", "weights", "timeout", "tenant", "quota", "idle"}, Series: IntRange{3, 8}, ControlWeight: heavyWeight},
	{Name: "config_race", Section: Plan, Count: IntRange{1, 4}, GapS: Range{.6, 1.5}, Series: IntRange{1, 2}, ControlWeight: heavyWeight, ConfigWeight: heavyWeight},
	{Name: "bad_config", Section: Plan, Count: IntRange{1, 4}, GapS: Range{.6, 1.2}, Variants: []string{"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}, ControlWeight: raisedWeight, ConfigWeight: heavyWeight},
	{Name: "big_config", Section: Plan, Count: IntRange{100, 400}, ConfigWeight: raisedWeight},
	{Name: "ack_lost", Section: Faults, X: Range{.4, .9}, ForS: Range{4, 12}, ControlWeight: heavyWeight, ConfigWeight: raisedWeight},
}

// closingKinds lists the faults that may end a day, with the variants of 'how' of each.
var closingKinds = []struct {
	Name     string
	Variants []string
}{
	{"power_off_all", []string{"", "timed", "taken"}},
	{"wipe_after_ack", []string{"", "aimed", "timed", "taken"}},
	{"kill_all", []string{"", "timed", "taken"}},
}

// weight returns the relative frequency of the kind on days of the stress.
func (k Kind) weight(stress Stress) int {
	switch stress {
	case StressControl:
		return max(k.ControlWeight, 1)
	case StressRequests:
		return max(k.RequestWeight, 1)
	case StressConfig:
		return k.ConfigWeight
	default:
		return 1
	}
}
