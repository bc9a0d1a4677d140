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
	key      string
	change   bool
	expected string // of a change: the value that it replaces
	next     string // of a change: the new value
	call     int64
	returned int64 // 0 while no clear answer has come
	refused  bool  // of a change: it found another value
	seen     string
}

// operator changes keys by what it was last told of them.
type operator struct {
	known map[string]string
}

// history records operations; their values are lists of the changes that led to them.
type history struct {
	world      *world
	clock      int64
	operations []*operation
}

func (h *history) moment() int64 {
	h.clock++
	return h.clock
}

func (h *history) begin(key string) *operation {
	o := &operation{key: key, call: h.moment()}
	h.operations = append(h.operations, o)
	return o
}

// change sends a compare-and-set change; if loseAnswer, the operator never hears how it ended.
func (h *history) change(by *operator, address, key string, loseAnswer bool) *operation {
	o := h.begin(key)
	o.change, o.expected = true, by.known[key]
	o.next = o.expected + fmt.Sprintf("%d;", len(h.operations))
	apply := func(old []byte) ([]byte, error) {
		if o.seen = string(old); o.seen != o.expected {
			return nil, errMismatch
		}
		return []byte(o.next), nil
	}
	h.world.ask(address, func(m *Machine, ticket uint64) { m.Change(h.world.now, ticket, key, apply) }, func(result Result) {
		refused := errors.Is(result.Err, errMismatch)
		if loseAnswer || result.Err != nil && !refused {
			return
		}
		o.returned, o.refused = h.moment(), refused
		if refused {
			by.known[key] = o.seen
		} else {
			by.known[key] = o.next
		}
	})
	return o
}

// read asks for the newest value, by a read or a survey.
func (h *history) read(by *operator, address, key string, survey bool) *operation {
	o := h.begin(key)
	open := func(m *Machine, ticket uint64) { m.Read(h.world.now, ticket, key) }
	if survey {
		open = func(m *Machine, ticket uint64) { m.QuorumRead(h.world.now, ticket, key) }
	}
	h.world.ask(address, open, func(result Result) {
		if result.Err != nil || !result.UpToDate {
			return
		}
		o.returned, o.seen = h.moment(), string(result.Version.GetValue())
		by.known[key] = o.seen
	})
	return o
}

// observed says whether anybody was told of a value that holds the change.
func (h *history) observed(change *operation) bool {
	own := strings.TrimPrefix(change.next, change.expected)
	for _, o := range h.operations {
		if o.returned == 0 {
			continue
		}
		value := ";" + o.seen
		if o.change && !o.refused {
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
		case !o.change:
			return o.seen == value, value
		case o.returned == 0:
			if value == o.expected {
				return true, o.next
			}
			return true, value
		case o.refused:
			return o.seen == value && value != o.expected, value
		}
		return value == o.expected, o.next
	},
	DescribeOperation: func(input, _ any) string { return input.(*operation).String() },
}

// String tells an operation in one line.
func (o *operation) String() string {
	switch {
	case !o.change:
		return fmt.Sprintf("[%d,%d] read %s: %q", o.call, o.returned, o.key, o.seen)
	case o.returned == 0:
		return fmt.Sprintf("[%d,...] change %s from %q to %q: no answer", o.call, o.key, o.expected, o.next)
	case o.refused:
		return fmt.Sprintf("[%d,%d] change %s from %q: refused, found %q", o.call, o.returned, o.key, o.expected, o.seen)
	}
	return fmt.Sprintf("[%d,%d] change %s from %q to %q", o.call, o.returned, o.key, o.expected, o.next)
}

// judge says what is wrong with the history, or "". A change without an answer that nobody has seen may be left
// out: it would stand after all others.
func (h *history) judge() string {
	keys := map[string][]porcupine.Operation{}
	for _, o := range h.operations {
		end := o.returned
		if end == 0 {
			if !o.change || !h.observed(o) {
				continue
			}
			end = math.MaxInt64
		}
		keys[o.key] = append(keys[o.key], porcupine.Operation{Input: o, Call: o.call, Return: end})
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
