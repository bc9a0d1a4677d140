package replica

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

var errMismatch = errors.New("the value differs from the expected one")

// operation is a client's request for one key and its outcome.
type operation struct {
	key        string
	isChange   bool
	expected   string // of a change: the value that it replaces
	next       string // of a change: the new value
	calledAt   int64
	returnedAt int64 // 0 while the outcome is unknown
	rejected   bool  // of a change: it found a different value
	observed   string
}

// client issues changes based on the last value that it has seen of each key.
type client struct {
	known map[string]string
}

// history records operations. Each value is the list of the changes that led to it.
type history struct {
	sim        *simulation
	clock      int64
	operations []*operation
}

func (h *history) nextTime() int64 {
	h.clock++
	return h.clock
}

func (h *history) begin(key string) *operation {
	o := &operation{key: key, calledAt: h.nextTime()}
	h.operations = append(h.operations, o)
	return o
}

// change issues a compare-and-set change; if loseReply is set, the client never learns its outcome.
func (h *history) change(client *client, address, key string, loseReply bool) *operation {
	o := h.begin(key)
	o.isChange, o.expected = true, client.known[key]
	o.next = o.expected + fmt.Sprintf("%d;", len(h.operations))
	apply := func(old []byte) ([]byte, error) {
		if o.observed = string(old); o.observed != o.expected {
			return nil, errMismatch
		}
		return []byte(o.next), nil
	}
	h.sim.ask(address, func(m *Machine, ticket uint64) { m.Change(h.sim.now, ticket, key, apply) }, func(result Result) {
		rejected := errors.Is(result.Err, errMismatch)
		if loseReply || result.Err != nil && !rejected {
			return
		}
		o.returnedAt, o.rejected = h.nextTime(), rejected
		if rejected {
			client.known[key] = o.observed
		} else {
			client.known[key] = o.next
		}
	})
	return o
}

// read reads the newest value through the key's owner or by a quorum read.
func (h *history) read(client *client, address, key string, quorumRead bool) *operation {
	o := h.begin(key)
	start := func(m *Machine, ticket uint64) { m.Read(h.sim.now, ticket, key) }
	if quorumRead {
		start = func(m *Machine, ticket uint64) { m.QuorumRead(h.sim.now, ticket, key) }
	}
	h.sim.ask(address, start, func(result Result) {
		if result.Err != nil || !result.UpToDate {
			return
		}
		o.returnedAt, o.observed = h.nextTime(), string(result.Version.GetValue())
		client.known[key] = o.observed
	})
	return o
}

// observed reports whether any completed operation saw a value that contains the change.
func (h *history) observed(change *operation) bool {
	ownEntry := strings.TrimPrefix(change.next, change.expected)
	for _, o := range h.operations {
		if o.returnedAt == 0 {
			continue
		}
		value := ";" + o.observed
		if o.isChange && !o.rejected {
			value = ";" + o.next
		}
		if o.key == change.key && strings.Contains(value, ";"+ownEntry) {
			return true
		}
	}
	return false
}

// model is the sequential specification of a compare-and-set register.
var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		o, value := input.(*operation), state.(string)
		switch {
		case !o.isChange:
			return o.observed == value, value
		case o.returnedAt == 0:
			if value == o.expected {
				return true, o.next
			}
			return true, value
		case o.rejected:
			return o.observed == value && value != o.expected, value
		}
		return value == o.expected, o.next
	},
	DescribeOperation: func(input, _ any) string { return input.(*operation).String() },
}

// String describes an operation in one line.
func (o *operation) String() string {
	switch {
	case !o.isChange:
		return fmt.Sprintf("[%d,%d] read %s: %q", o.calledAt, o.returnedAt, o.key, o.observed)
	case o.returnedAt == 0:
		return fmt.Sprintf("[%d,...] change %s from %q to %q: outcome unknown", o.calledAt, o.key, o.expected, o.next)
	case o.rejected:
		return fmt.Sprintf("[%d,%d] change %s from %q: rejected, found %q", o.calledAt, o.returnedAt, o.key, o.expected, o.observed)
	}
	return fmt.Sprintf("[%d,%d] change %s from %q to %q", o.calledAt, o.returnedAt, o.key, o.expected, o.next)
}

// checkLinearizable returns a description of the first violation, or "". A change of unknown outcome whose value
// no operation observed may be left out, because it could be ordered after all others.
func (h *history) checkLinearizable() string {
	keys := map[string][]porcupine.Operation{}
	for _, o := range h.operations {
		end := o.returnedAt
		if end == 0 {
			if !o.isChange || !h.observed(o) {
				continue
			}
			end = math.MaxInt64
		}
		keys[o.key] = append(keys[o.key], porcupine.Operation{Input: o, Call: o.calledAt, Return: end})
	}
	for key, operations := range keys {
		if porcupine.CheckOperationsTimeout(model, operations, 10*time.Second) != porcupine.Ok {
			lines := []string{"the history of " + key + " isn't linearizable"}
			for _, each := range operations {
				lines = append(lines, each.Input.(*operation).String())
			}
			return strings.Join(lines, "\n")
		}
	}
	return ""
}
