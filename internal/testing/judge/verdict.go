package judge

import (
	"fmt"
	"strings"
)

// Verdict is what a rule found.
type Verdict struct {
	Rule string
	// Checked is how many things the rule applied to.
	Checked int
	// Violations are the violations.
	Violations []string
	// Note is a figure worth knowing beside.
	Note string
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	switch {
	case v.Checked == 0:
		return v.Rule + ": saw nothing to judge"
	case len(v.Violations) > 0:
		return fmt.Sprintf("%s: broken %d times in %d; first %s", v.Rule, len(v.Violations), v.Checked, v.Violations[0])
	}
	return strings.TrimSpace(fmt.Sprintf("%s: kept, %d judged %s", v.Rule, v.Checked, v.Note))
}
