package scale

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"curlewreach/base"
)

// sweep holds one answer of each child, by role.
type sweep map[string][]Stat

func (f *Field) all(o Order) (sweep, error) {
	answers := make([]Stat, len(f.children))
	faults := make([]error, len(f.children))
	indices := slices.Collect(func(yield func(int) bool) {
		for i := range f.children {
			if !yield(i) {
				return
			}
		}
	})
	base.Parallel(indices, func(i int) { answers[i], faults[i] = f.children[i].order(o) })
	found := sweep{}
	memory := int64(0)
	for i, c := range f.children {
		if faults[i] != nil {
			return nil, faults[i]
		}
		memory += answers[i].Memory
		found[c.task.Role] = append(found[c.task.Role], answers[i])
	}
	if memory>>20 > int64(f.settings.Memory) {
		return nil, errors.Errorf("%d MB in use, more than %d", memory>>20, f.settings.Memory)
	}
	return found, f.ctx.Err()
}

func (s sweep) crowds(of func(*CrowdStat) int64) (sum int64) {
	for _, each := range s[crowdRole] {
		sum += of(each.Crowd)
	}
	return sum
}

func (s sweep) times(what string) *hdr.Histogram {
	whole := histogram()
	for _, each := range s[crowdRole] {
		if raw := each.Crowd.Times[what]; len(raw) > 0 {
			if one, err := hdr.Decode(raw); err == nil {
				whole.Merge(one)
			}
		}
	}
	return whole
}

func (f *Field) until(within time.Duration, what string, reached func(sweep) bool) error {
	for began := time.Now(); ; time.Sleep(look) {
		seen, err := f.all(Order{Do: "stat"})
		if err != nil {
			return err
		}
		if reached(seen) {
			return nil
		}
		if time.Since(began) > within {
			return errors.Errorf("gave up after %s waiting for: %s", within, what)
		}
	}
}
