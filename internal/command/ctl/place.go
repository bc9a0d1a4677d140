package ctl

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/placement"
	"curlewreach/proto/wire"
)

var errClash = errors.New("these can't all hold")

func (a *args) place() error {
	plan := &wire.PerchPlan{}
	if err := readProto(a.Place.File, plan); err != nil {
		return badFile{err}
	}
	if err := placement.Check(plan); err != nil {
		return badFile{errors.New(strings.Join(base.ErrorLines(err), "\n  "))}
	}
	seats, clash := placement.Solve(plan)
	if len(clash) > 0 {
		for _, each := range clash {
			fmt.Fprintln(os.Stderr, " ", each)
		}
		return errClash
	}
	t := tableOf("SERVICE", "MACHINE", "ZONE")
	for _, seat := range seats {
		t.add(seat.Service, seat.Machine, seat.Zone)
	}
	t.print(a.Sort, a.Filter)
	return nil
}
