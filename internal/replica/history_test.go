package replica

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

var errMismatch = errors.New("the value is another")

// operation is what an operator asked of one key, and what it was told.
type operation struct {
	key        string
	isChange   bool
	expected   string // of a change: the value that it replaces
	next       string // of a change: the new value
	calledAt   int64
	returnedAt int64 // 0 while no clear answer has come
	rejected   bool  // of a change: it found another value
	observed   string
}

// client changes keys by what it was last told of them.
type client struct {
	known map[string]string
}

// history records operations; their values are lists of the changes that led to them.
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

// change sends a compare-and-set change; if loseAnswer, the operator never hears how it ended.
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
		refused := errors.Is(result.Err, errMismatch)
		if loseReply || result.Err != nil && !refused {
			return
		}
		o.returnedAt, o.rejected = h.nextTime(), refused
		if refused {
			client.known[key] = o.observed
		} else {
			client.known[key] = o.next
		}
	})
	return o
}

// read asks for the newest value, by a read or a survey.
func (h *history) read(client *client, address, key string, survey bool) *operation {
	o := h.begin(key)
	start := func(m *Machine, ticket uint64) { m.Read(h.sim.now, ticket, key) }
	if survey {
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

// observed says whether anybody was told of a value that holds the change.
func (h *history) observed(change *operation) bool {
	own := strings.TrimPrefix(change.next, change.expected)
	for _, o := range h.operations {
		if o.returnedAt == 0 {
			continue
		}
		value := ";" + o.observed
		if o.isChange && !o.rejected {
			value = ";" + o.next
		}
		if o.key == change.key && strings.Contains(value, ";"+own) {
			return true
		}
	}
	return false
}

// model is a compare-and-set register.
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

// String tells an operation in one line.
func (o *operation) String() string {
	switch {
	case !o.isChange:
		return fmt.Sprintf("[%d,%d] read %s: %q", o.calledAt, o.returnedAt, o.key, o.observed)
	case o.returnedAt == 0:
		return fmt.Sprintf("[%d,...] change %s from %q to %q: no answer", o.calledAt, o.key, o.expected, o.next)
	case o.rejected:
		return fmt.Sprintf("[%d,%d] change %s from %q: refused, found %q", o.calledAt, o.returnedAt, o.key, o.expected, o.observed)
	}
	return fmt.Sprintf("[%d,%d] change %s from %q to %q", o.calledAt, o.returnedAt, o.key, o.expected, o.next)
}

// checkLinearizable says what is wrong with the history, or "". A change without an answer that nobody has seen may be left
// out: it would stand after all others.
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
