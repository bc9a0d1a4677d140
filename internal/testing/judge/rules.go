package judge

import (
	"strings"
)

func checkRunOnce(c *ruleCheck) {
	seen := map[string]bool{}
	for _, run := range c.runs {
		if run.Method == "GET" {
			continue
		}
		c.addChecked()
		if seen[run.ID] {
			c.addViolation("%s %s at %s", run.ID, run.Path, run.Address)
		}
		seen[run.ID] = true
	}
}

func checkNotRun(c *ruleCheck) {
	ran := map[string]bool{}
	for _, run := range c.runs {
		ran[run.ID] = true
	}
	for _, call := range c.calls {
		if call.Outcome != "not-run" {
			continue
		}
		c.addChecked()
		if ran[call.ID] {
			c.addViolation("%s (%s) ran", call.ID, call.Kind)
		}
	}
}

// checkWholeAnswers ignores answers that the client could tell to be incomplete.
func checkWholeAnswers(c *ruleCheck) {
	for _, call := range c.calls {
		if call.Outcome == "" {
			c.addChecked()
		}
		if strings.HasPrefix(call.Broken, "not whole") {
			c.addViolation("%s %s", call.ID, call.Broken)
		}
	}
}

// checkAllowedServices checks that the first segment of a run's path names the service that ran it and, if any bundle was
// recorded as signed, that one of these bundles routes the request there.
func checkAllowedServices(c *ruleCheck) {
	for _, run := range c.runs {
		c.addChecked()
		if !strings.HasPrefix(run.Path, "/"+run.Service+"/") {
			c.addViolation("%s %s reached %s", run.ID, run.Path, run.Service)
			continue
		}
		allowed := len(c.signed) == 0
		for _, signed := range c.signed {
			if signed.bundle != nil {
				route, known := signed.bundle.Match(run.Method, run.Path)
				allowed = allowed || known && route.Service.Name == run.Service
			}
		}
		if !allowed {
			c.addViolation("%s %s: no signed bundle routes it there", run.ID, run.Path)
		}
	}
}
