package judge

import (
	"fmt"
	"strings"
)

// Verdict is what a rule found.
type Verdict struct {
	Rule string
	// Judged is how many things the rule applied to.
	Judged int
	// Found are the violations.
	Found []string
	// Remark is a figure worth knowing beside.
	Remark string
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	switch {
	case v.Judged == 0:
		return v.Rule + ": saw nothing to judge"
	case len(v.Found) > 0:
		return fmt.Sprintf("%s: broken %d times in %d; first %s", v.Rule, len(v.Found), v.Judged, v.Found[0])
	}
	return strings.TrimSpace(fmt.Sprintf("%s: kept, %d judged %s", v.Rule, v.Judged, v.Remark))
}
