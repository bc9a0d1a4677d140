package judge

import (
	"strings"
)

func ranTwice(a *account) {
	seen := map[string]bool{}
	for _, run := range a.runs {
		if run.Method == "GET" {
			continue
		}
		a.judged()
		if seen[run.ID] {
			a.found("%s %s at %s", run.ID, run.Path, run.Address)
		}
		seen[run.ID] = true
	}
}

func notRun(a *account) {
	ran := map[string]bool{}
	for _, run := range a.runs {
		ran[run.ID] = true
	}
	for _, call := range a.calls {
		if call.Outcome != "not-run" {
			continue
		}
		a.judged()
		if ran[call.ID] {
			a.found("%s (%s) ran", call.ID, call.Kind)
		}
	}
}

func wholeAnswers(a *account) {
	for _, call := range a.calls {
		if call.Outcome == "" {
			a.judged()
		}
		if strings.HasPrefix(call.Broken, "not whole") {
			a.found("%s %s", call.ID, call.Broken)
		}
	}
}

func allowedServices(a *account) {
	for _, run := range a.runs {
		a.judged()
		if !strings.HasPrefix(run.Path, "/"+run.Service+"/") {
			a.found("%s %s reached %s", run.ID, run.Path, run.Service)
			continue
		}
		named := len(a.signed) == 0
		for _, row := range a.signed {
			if row.bundle != nil {
				way, known := row.bundle.Match(run.Method, run.Path)
				named = named || known && way.Service.Name == run.Service
			}
		}
		if !named {
			a.found("%s %s: no signed bundle names it", run.ID, run.Path)
		}
	}
}
