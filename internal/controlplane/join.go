package controlplane

import (
	"context"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/quorum"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	matesFile    = "mates"
	foundingFile = "founding"
	valuesKept   = 4
	spansEachMb  = 20
	spansMost    = 50000
)

func (m *Moor) join(s base.Scope) *core {
	for s.Err() == nil {
		c, err := m.enter(s)
		if err == nil {
			return c
		}
		s.Note("joining", "", err.Error())
		s.Log.Warn("not joined yet", "error", err)
		base.Await(s, part(m.params.Load().InForce, 2*stepRatio))
	}
	return nil
}

func (m *Moor) enter(s base.Scope) (*core, error) {
	p := m.params.Load()
	mates, saved, err := m.mates(s, p)
	if err != nil {
		return nil, err
	}
	store, err := quorum.OpenStore(s, valuesKept)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	c := &core{mates: mates, saved: saved, moors: map[string]wireconnect.MoorClient{}, lenses: map[string]wireconnect.LensClient{}}
	var all []quorum.Mate
	var relays []string
	for _, address := range mates {
		all = append(all, quorum.Mate{Name: address, Address: address})
		c.lenses[address] = wireconnect.NewLensClient(m.web, "http://"+address)
		if address != m.self {
			c.moors[address] = wireconnect.NewMoorClient(m.web, "http://"+address)
			relays = append(relays, address)
		}
	}
	var options []quorum.Option
	if !saved {
		options = append(options, quorum.Joining)
	}
	c.trove = quorum.New(s, store, m.web, m.self, all, part(p.Ack, roundRatio), options...)
	c.traces = tracing.OpenStore(s, min(int(p.MemoryMb)*spansEachMb, spansMost))
	c.traces.Mates(m.web, relays)
	_, c.votes = quorum.Handler(c.trove)
	_, c.spans = tracing.Handler(c.traces)
	return c, nil
}

// A saved list also says that this disk wasn't wiped since the fleet began.
func (m *Moor) mates(s base.Scope, p *wire.MoorParams) (mates []string, saved bool, err error) {
	list := &wire.KeelsReply{}
	raw, err := s.Disk.Read(matesFile)
	if err == nil {
		err = base.Unframe(raw, list)
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, false, errors.Wrap(err, "mates")
	}
	if err == nil && slices.Contains(list.Keels, m.self) {
		return list.Keels, true, nil
	}
	seeds, founding, err := m.foundingSeeds(s, p)
	if err != nil {
		return nil, false, err
	}
	m.founding.Store(founding)
	if founding {
		mates, err = m.found(s, p, seeds)
		return mates, true, err
	}
	mates, err = m.ask(s, p)
	return mates, false, err
}

// foundingSeeds are those of the first start, whatever the settings say later; a wiped disk has none.
func (m *Moor) foundingSeeds(s base.Scope, p *wire.MoorParams) (seeds []string, founding bool, err error) {
	list := &wire.KeelsReply{}
	if raw, err := s.Disk.Read(foundingFile); err == nil && base.Unframe(raw, list) == nil {
		return list.Keels, true, nil
	}
	if !p.Founding {
		return nil, false, nil
	}
	seeds = others(p)
	if isSeed(p) {
		seeds = append(seeds, m.self)
		slices.Sort(seeds)
	}
	raw, err := base.Frame(&wire.KeelsReply{Keels: seeds})
	if err == nil {
		err = base.Keep(s.Disk, foundingFile, raw)
	}
	return seeds, true, errors.Wrap(err, "founding")
}

// found settles who votes, once, at the first start of all: the first of the seeds lists every keel that asks it within a part of the ack bound, and waits for all seeds.
func (m *Moor) found(s base.Scope, p *wire.MoorParams, seeds []string) ([]string, error) {
	if len(seeds) == 0 || seeds[0] == m.self {
		m.joiners.Put(m.self, true)
		base.Await(s, part(p.Ack, foundRatio))
		listed := m.joiners.Snapshot()
		for _, seed := range seeds {
			if !listed[seed] {
				return nil, errors.Errorf("seed %s has not joined yet", seed)
			}
		}
		mates := slices.Sorted(maps.Keys(listed))
		return mates, save(s, mates)
	}
	bounded, cancel := s.Within(part(p.Ack, 2*roundRatio))
	defer cancel()
	reply, err := wireconnect.NewMoorClient(m.web, "http://"+seeds[0]).Keels(bounded, connect.NewRequest(&wire.KeelsRequest{Joining: m.self}))
	if err != nil {
		return nil, errors.Wrap(err, "the founding seed")
	}
	mates := withSelf(reply.Msg.Keels, m.self)
	return mates, save(s, mates)
}

// A keel that isn't listed counts itself too: its majorities of one more meet all of theirs.
func withSelf(mates []string, self string) []string {
	if !slices.Contains(mates, self) {
		mates = append(slices.Clone(mates), self)
		slices.Sort(mates)
	}
	return mates
}

func save(s base.Scope, mates []string) error {
	raw, err := base.Frame(&wire.KeelsReply{Keels: mates})
	if err != nil {
		return err
	}
	return base.Keep(s.Disk, matesFile, raw)
}

func (m *Moor) ask(s base.Scope, p *wire.MoorParams) ([]string, error) {
	bounded, cancel := s.Within(part(p.Ack, 2*roundRatio))
	defer cancel()
	var mu sync.Mutex
	var found []string
	base.All(others(p), func(address string) {
		ctx, stop := context.WithCancel(bounded)
		defer stop()
		reply, err := wireconnect.NewMoorClient(m.web, "http://"+address).Keels(ctx, connect.NewRequest(&wire.KeelsRequest{}))
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if found == nil {
			found = reply.Msg.Keels
			cancel()
		}
	})
	if found == nil {
		return nil, errors.New("no founded keel answered")
	}
	return withSelf(found, m.self), nil
}

func (m *Moor) recover(s base.Scope, c *core) {
	known := c.trove.Ready()
	c.trove.Recover(s, part(m.params.Load().InForce, stepRatio))
	if !c.trove.Ready() {
		return
	}
	if !known {
		s.Log.Info("founded", "recovered", !c.saved, "mates", c.mates)
	}
	for !c.saved && s.Err() == nil {
		if err := save(s, c.mates); err == nil {
			return
		}
		base.Await(s, time.Second)
	}
}

func (v server) Keels(_ context.Context, request *connect.Request[wire.KeelsRequest]) (*connect.Response[wire.KeelsReply], error) {
	c := v.moor.core.Load()
	joining := request.Msg.Joining
	if c == nil && joining != "" && v.moor.founding.Load() {
		v.moor.joiners.Put(joining, true)
	}
	if c == nil || joining == "" && !c.trove.Ready() {
		return nil, base.Bounce(base.Amnesiac, "", "this keel is not founded")
	}
	return connect.NewResponse(&wire.KeelsReply{Keels: c.mates}), nil
}
