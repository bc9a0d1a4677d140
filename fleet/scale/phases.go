package scale

import (
	"fmt"
	"time"

	"curlewreach/base"
)

func (f *Field) quiet() error {
	last, since := int64(-1), time.Now()
	return f.until(startWithin, "no more news of nodes", func(s sweep) bool {
		if sights := s.crowds(func(c *CrowdStat) int64 { return c.Sights }); sights != last {
			last, since = sights, time.Now()
		}
		return time.Since(since) > f.settings.tempo.calm
	})
}

func (f *Field) timed() (took time.Duration, err error) {
	p := f.next()
	began := now()
	if _, err := f.all(Order{Do: "expect", Serial: p.Change.Serial, At: now()}); err != nil {
		return 0, err
	}
	if err := f.change(p); err != nil {
		return 0, err
	}
	return now() - began, nil
}

func (f *Field) everywhere() error {
	return f.until(phaseWithin, fmt.Sprintf("change %d everywhere", f.serial), func(s sweep) bool {
		for _, each := range s[crowdRole] {
			if each.Crowd.Live > 0 && each.Crowd.Least < f.serial {
				return false
			}
		}
		return true
	})
}

// window measures the steady state, with changes and restarts at the point's rates.
func (f *Field) window() error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	changed, restarted, err := f.stir()
	if err != nil {
		return err
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	took := seconds(before, after)
	for what, done := range map[string][2]float64{"changes": {float64(changed), f.point.changes * took}, "restarts": {float64(restarted), f.point.restarts * took}} {
		if done[0] < leastKept*done[1]-1 {
			f.fault("%s kept no pace: %.0f of %.1f due", what, done[0], done[1])
		}
	}
	f.account("", before, after, took)
	if owed := f.figures["hollow.owed"]; f.figures["hollow.spans"] < leastKept*owed-1/took {
		f.fault("spans kept no pace: %.1f of %.1f a second were taken", f.figures["hollow.spans"], owed)
	}
	if f.point.changes > 0 {
		f.spread("change", after.times("change"))
	}
	return nil
}

// stir changes the configuration and restarts nodes at the point's rates for
// the window's length, and returns how often it did.
func (f *Field) stir() (changed, restarted int, err error) {
	began, length := time.Now(), f.settings.window()
	for time.Since(began) < length {
		passed := time.Since(began).Seconds()
		switch {
		case float64(changed) < passed*f.point.changes:
			if _, err := f.timed(); err != nil {
				return 0, 0, err
			}
			changed++
		case float64(restarted) < passed*f.point.restarts:
			if _, err := f.all(Order{Do: "rise", Which: []int{restarted % f.point.nodes}, At: now()}); err != nil {
				return 0, 0, err
			}
			restarted++
		default:
			base.Await(base.Scope{Context: f.ctx}, 5*time.Millisecond)
			if err := f.ctx.Err(); err != nil {
				return 0, 0, err
			}
		}
	}
	return changed, restarted, nil
}

func (f *Field) changes() error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	acks := histogram()
	for range f.settings.tempo.changes {
		took, err := f.timed()
		if err != nil {
			return err
		}
		_ = acks.RecordValue(took.Microseconds())
		if err := f.everywhere(); err != nil {
			return err
		}
		time.Sleep(f.settings.tempo.between)
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread("change", after.times("change"))
	f.spread("ack", acks)
	quiet := seconds(before, after)
	f.account("change.", before, after, float64(f.settings.tempo.changes))
	for _, name := range []string{"keel.cpu", "keel.out", "keel.in", "node.cpu", "hollow.in", "hollow.out", "hollow.hails"} {
		if usual, known := f.figures[name]; known {
			f.note("change."+name, f.figures["change."+name]-usual*quiet/float64(f.settings.tempo.changes))
		}
	}
	return nil
}

func (f *Field) hurt() error {
	var some []int
	for at := 0; at < f.point.nodes; at += tenth {
		some = append(some, at)
	}
	if err := f.fall("one", []int{f.point.nodes - 1}); err != nil {
		return err
	}
	if err := f.rise("one", []int{f.point.nodes - 1}); err != nil {
		return err
	}
	if err := f.fall("tenth", some); err != nil {
		return err
	}
	return f.rise("tenth", some)
}

func (f *Field) fall(prefix string, which []int) error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	if _, err := f.all(Order{Do: "fall", Which: which, At: now()}); err != nil {
		return err
	}
	owed := int64(len(which)) * int64(f.live()-len(which))
	if err := f.until(phaseWithin, "everyone knowing who fell", func(s sweep) bool {
		return s.crowds(func(c *CrowdStat) int64 { return int64(c.Found) }) >= owed
	}); err != nil {
		return err
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread(prefix+".found", after.times("found"))
	f.account(prefix+".fell.", before, after, 1)
	f.note(prefix+".fell.seconds", seconds(before, after))
	return nil
}

func (f *Field) rise(prefix string, which []int) error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	if _, err := f.all(Order{Do: "rise", Which: which, At: now()}); err != nil {
		return err
	}
	owed := int64(len(which)) * int64(f.live()-len(which))
	if err := f.until(phaseWithin, "everyone knowing who rose", func(s sweep) bool {
		return s.crowds(func(c *CrowdStat) int64 { return int64(c.Back) }) >= owed && s.crowds(func(c *CrowdStat) int64 { return int64(c.Charted) }) == int64(f.live())
	}); err != nil {
		return err
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread(prefix+".ready", after.times("ready"))
	f.spread(prefix+".seen", after.times("seen"))
	f.account(prefix+".rose.", before, after, 1)
	f.note(prefix+".rose.seconds", seconds(before, after))
	return f.quiet()
}
