package ctl

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

// Exit codes. They tell a rejected change apart from one whose outcome is unknown.
const (
	exitFailure        = 1
	exitInvalidFile    = 2
	exitRejected       = 3
	exitOutcomeUnknown = 4
	exitUnreachable    = 5
)

// invalidFileError is an error in a file that the operator gave.
type invalidFileError struct{ error }

// errOutcomeUnknown means that a submission was neither accepted nor rejected yet.
var errOutcomeUnknown = errors.New("the outcome is not known yet; ask again with the subcommand status")

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var fault *base.Fault
	var bad invalidFileError
	switch {
	case errors.As(err, &bad):
		return exitInvalidFile
	case errors.Is(err, errOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, listedcore.ErrNoController):
		return exitUnreachable
	case errors.As(err, &fault):
		return exitRejected
	}
	return exitFailure
}

// printOutcome prints the outcome of a submission. It returns an error unless the submission
// was accepted.
func (a *args) printOutcome(outcome *wire.Outcome, err error) error {
	if err != nil {
		return err
	}
	if a.JSON {
		_ = printProto(outcome)
	} else {
		fmt.Printf("%s serial %d\n", strings.ToLower(outcome.Verdict.String()), outcome.Serial)
	}
	if fault := outcome.Mishap; fault != nil && outcome.Verdict == wire.Verdict_BOUNCED {
		return &base.Fault{Kind: base.Kind(fault.Kind), Path: fault.Path, Reason: fault.Reason}
	}
	if outcome.Verdict == wire.Verdict_UNKNOWN {
		return errOutcomeUnknown
	}
	return nil
}
