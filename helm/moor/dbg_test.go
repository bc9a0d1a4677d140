package moor

import (
	"fmt"
	"os"
)

func (f *fleet) dump() {
	out, _ := os.OpenFile("/tmp/dump.txt", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	defer out.Close()
	fmt.Fprintln(out, "=======")
	for i, k := range f.keels {
		if k.moor == nil {
			continue
		}
		fmt.Fprintln(out, "keel", i, "holder", k.moor.learning.Load().said.GetHolder(), k.moor.learning.Load().said.GetCycle(), "serial", k.moor.view.Load().serial(), k.moor.Ready(), k.moor.Settled())
		n := 0
		_, e := k.moor.core.Load().trove.Store().Peek(ChartKey)
		se, _ := k.moor.core.Load().trove.Settled(ChartKey)
		fmt.Fprintln(out, "PEEK", e.GetEpoch(), e.GetSerial(), "SETTLED", se.GetEpoch(), se.GetSerial())
		for e := range k.moor.scope.Journal.About("") {
			n++
			if n < 150 {
				fmt.Fprintln(out, i, e.Mono, e.Topic, e.Subject, e.Detail)
			}
		}
	}
}
