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

// errUnsatisfiable means that no placement satisfies all constraints.
var errUnsatisfiable = errors.New("these constraints can't all be satisfied")

// place computes and prints a placement. If there is none, it prints a set of constraints that
// contradict each other.
func (a *args) place() error {
	plan := &wire.PerchPlan{}
	if err := readProto(a.Place.File, plan); err != nil {
		return invalidFileError{err}
	}
	if err := placement.Check(plan); err != nil {
		return invalidFileError{errors.New(strings.Join(base.ErrorLines(err), "\n  "))}
	}
	assignments, conflicts := placement.Solve(plan)
	if len(conflicts) > 0 {
		for _, each := range conflicts {
			fmt.Fprintln(os.Stderr, " ", each)
		}
		return errUnsatisfiable
	}
	t := newTable("SERVICE", "MACHINE", "ZONE")
	for _, assignment := range assignments {
		t.add(assignment.Service, assignment.Machine, assignment.Zone)
	}
	t.print(a.Sort, a.Filter)
	return nil
}
