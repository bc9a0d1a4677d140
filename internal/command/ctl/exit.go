package ctl

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

const (
	exitFault       = 1
	exitBadFile     = 2
	exitRejected    = 3
	exitUnknown     = 4
	exitUnreachable = 5
)

type badFile struct{ error }

var errUnknown = errors.New("not known yet; ask again with status")

func exitCode(err error) int {
	var fault *base.Fault
	var bad badFile
	switch {
	case errors.As(err, &bad):
		return exitBadFile
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, listedcore.ErrNoController):
		return exitUnreachable
	case errors.As(err, &fault):
		return exitRejected
	}
	return exitFault
}

func (a *args) outcome(outcome *wire.Outcome, err error) error {
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
		return errUnknown
	}
	return nil
}
