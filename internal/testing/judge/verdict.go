package judge

import (
	"fmt"
	"strings"
)

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule string
	// Checked is the number of things that the rule applied to.
	Checked int
	// Violations describes each violation.
	Violations []string
	// Note is additional information, in parentheses.
	Note string
}

// String returns the verdict as one line, with the first violation if there is any.
func (v Verdict) String() string {
	switch {
	case v.Checked == 0:
		return v.Rule + ": saw nothing to judge"
	case len(v.Violations) > 0:
		return fmt.Sprintf("%s: broken %d times in %d; first %s", v.Rule, len(v.Violations), v.Checked, v.Violations[0])
	}
	return strings.TrimSpace(fmt.Sprintf("%s: kept, %d judged %s", v.Rule, v.Checked, v.Note))
}
