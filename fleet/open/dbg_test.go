package open

import (
	"fmt"
	"os"
)

func (f *Fleet) dump() {
	if os.Getenv("DUMP") == "" {
		return
	}
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, job := range h.jobs {
		if job.Served {
			continue
		}
		fmt.Println("JOB", job.ID, job.Route, job.Node, job.At, job.Ended, job.Tries)
		for i := range job.Tries {
			id := fmt.Sprint(job.ID, "-", i)
			told := h.told[id]
			fmt.Println("    ", id, told.At, told.Status, told.Kind, told.Broken, told.Again)
			for _, each := range h.arrivals {
				if each.ID == id {
					fmt.Println("        ", each.At, each.Berth, each.Missed, each.Ran, each.Status, each.Broke, each.Gone)
				}
			}
		}
	}
	for _, each := range h.left {
		fmt.Println("LEFT", each)
	}
	for _, each := range h.spells {
		fmt.Println("SPELL", *each)
	}
}

func (f *Fleet) line(every int) {
	if os.Getenv("LINE") == "" {
		return
	}
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, job := range h.jobs {
		if i%every != 0 {
			continue
		}
		fmt.Print("JOB ", job.ID, " ", job.Node, " ", job.At, " served ", job.Served, " took ", job.Ended-job.At, " fresh ", job.Fresh, ": ")
		for i := range job.Tries {
			id := fmt.Sprint(job.ID, "-", i)
			told := h.told[id]
			fmt.Print(" | +", told.At-job.At, " ", told.Status, " ", told.Kind, told.Broken, " after ", told.Again)
			for _, each := range h.arrivals {
				if each.ID == id {
					fmt.Print(" (arr +", each.At-job.At, " at ", each.Berth, " done +", each.Ended-job.At, ")")
				}
			}
		}
		fmt.Println()
	}
}
