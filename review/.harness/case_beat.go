package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-beat"] = lateBeat }

const (
	// lateness is how long the beat that was sent before DELETE is under way ("A beat may come seconds late").
	lateness = 1500 * time.Millisecond
	// servesOn is how long the upstream serves on after its DELETE ("DrainMs ... and a little longer (at times many
	// seconds)").
	servesOn = 6 * time.Second
)

// lateBeat has an upstream leave by DELETE. Then the node beside it is killed and comes back, and a beat that the upstream
// sent before its DELETE arrives late. Without the trouble the node isn't killed; the late beat comes all the same.
func lateBeat(rec *record, trouble bool) (held bool, err error) {
	targets := []string{"circdesk", "circdesk", "ledger", "circdesk", "circdesk", "ledger", "ledger", "ledger", "circdesk", "ledger"}
	f, err := newFleet(rec, targets...)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i, target := range targets {
		u, err := startUpstream(rec, f.sidecars[i], fmt.Sprintf("i-7f3a91c%d", i), target, 6, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i > 0 {
			defer u.end()
		}
		upstreams = append(upstreams, u)
	}
	if err := f.configure([]string{"circdesk", "ledger"}, []route{{"r-loan", "jepu9.example", "/loan/", "mutating", "circdesk", 4000, 600, 1, 2}}); err != nil {
		return false, err
	}
	for _, m := range f.sidecars {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 2*time.Second)
	leaving, node := upstreams[0], f.sidecars[0]
	late := leaving.nextBeat() // sent now, on its way for some seconds
	leaving.mu.Lock()
	leaving.state = ""
	leaving.mu.Unlock()
	if status := leaving.leave(); status != 200 {
		return false, fmt.Errorf("%w: DELETE gives %d", errCannotRun, status)
	}
	acknowledged := time.Now()
	rec.say("upstream %s: DELETE is acknowledged", leaving.id)
	if trouble {
		rec.say("case: kills %s", node.name)
		node.kill()
	}
	time.Sleep(lateness)
	if err := node.waitReady(5 * time.Second); err != nil {
		return false, err
	}
	rec.say("upstream %s: the beat sent before DELETE arrives late: %d", leaving.id, leaving.deliver(late))
	time.AfterFunc(time.Until(acknowledged.Add(servesOn)), func() {
		rec.say("upstream %s: ends, %d ms after the acknowledgement", leaving.id, time.Since(acknowledged).Milliseconds())
		leaving.end()
	})
	client := f.sidecars[6] // in the zone of the leaving upstream
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Since(acknowledged) < servesOn+2*time.Second {
				c, err := dial(client)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				r := c.do("POST", "jepu9.example", "/loan/1", newID("loan"), 4*time.Second)
				_ = c.Close()
				rec.say("client: %s sent to %s: %d", r.id, client.name, r.status)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	broken, lost := 0, 0
	for _, r := range results {
		for _, each := range leaving.ran(r.id) {
			since := each.at.Sub(acknowledged)
			if since <= drain || r.sentAt.Sub(node.startedAt()) <= contact {
				continue
			}
			broken++
			rec.say("broken: %s, sent to %s, runs at %s %d ms after the acknowledgement and is answered %d", r.id, client.name, leaving.id, since.Milliseconds(), r.status)
			if r.status != http.StatusOK {
				lost++
			}
		}
	}
	rec.say("requests that reached the upstream more than DrainMs after the acknowledgement, with the machines in touch: %d; of these, run and not answered with success: %d", broken, lost)
	return broken == 0, nil
}
