package main

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/helm"
	"curlewreach/proto/wire"
)

const (
	exitMishap      = 1
	exitBadFile     = 2
	exitBounced     = 3
	exitUnknown     = 4
	exitUnreachable = 5
)

type badFile struct{ error }

var errUnknown = errors.New("not known yet; ask again with status")

func exitCode(err error) int {
	var mishap *base.Fault
	var bad badFile
	switch {
	case errors.As(err, &bad):
		return exitBadFile
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, helm.ErrNoKeel):
		return exitUnreachable
	case errors.As(err, &mishap):
		return exitBounced
	}
	return exitMishap
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
	if mishap := outcome.Mishap; mishap != nil && outcome.Verdict == wire.Verdict_BOUNCED {
		return &base.Fault{Kind: base.Kind(mishap.Kind), Path: mishap.Path, Reason: mishap.Reason}
	}
	if outcome.Verdict == wire.Verdict_UNKNOWN {
		return errUnknown
	}
	return nil
}
