package main

import (
	"fmt"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash sends requests below the prefix /catalogue/ of one service, whose paths hold an encoded slash. Without the
// trouble the slash is left out.
func encodedSlash(rec *record, trouble bool) (held bool, err error) {
	f, err := newFleet(rec, "circdesk", "ledger")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i, target := range []string{"circdesk", "ledger"} {
		u, err := startUpstream(rec, f.sidecars[i], fmt.Sprintf("i-7f3a91c%d", i), target, 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	if err := f.configure([]string{"circdesk", "ledger"}, []route{
		{"r-catalogue", "jepu9.example", "/catalogue/", "mutating", "circdesk", 4000, 600, 1, 2},
		{"r-holds", "jepu9.example", "/catalogue/holds/", "idempotent", "ledger", 4000, 600, 1, 2},
	}); err != nil {
		return false, err
	}
	for _, m := range f.sidecars {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 2*time.Second)
	path := "/catalogue/holds-2026"
	if trouble {
		path = "/catalogue/holds%2F2026"
	}
	wrong := 0
	for i := range 20 {
		c, err := dial(f.sidecars[i%2])
		if err != nil {
			return false, fmt.Errorf("%w: %w", errCannotRun, err)
		}
		r := c.do("POST", "jepu9.example", path, newID("hold"), 4*time.Second)
		_ = c.Close()
		rec.say("client: %s POST %s at %s: %d, %q", r.id, path, f.sidecars[i%2].name, r.status, r.body)
		for _, u := range upstreams {
			for _, each := range u.ran(r.id) {
				if each.target != "circdesk" {
					wrong++
					rec.say("broken: %s ran at %s of %s; the longest prefix that begins %s is /catalogue/, of circdesk", r.id, each.upstream, each.target, path)
				}
			}
		}
	}
	rec.say("requests run by a service that no configuration allows them to go to: %d of 20", wrong)
	return wrong == 0, nil
}
