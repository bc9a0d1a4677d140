package judge

import (
	"fmt"
	"strings"
)

type Verdict struct {
	Rule   string
	Judged int
	Found  []string
	Remark string
}

func (v Verdict) String() string {
	switch {
	case v.Judged == 0:
		return v.Rule + ": saw nothing to judge"
	case len(v.Found) > 0:
		return fmt.Sprintf("%s: broken %d times in %d; first %s", v.Rule, len(v.Found), v.Judged, v.Found[0])
	}
	return strings.TrimSpace(fmt.Sprintf("%s: kept, %d judged %s", v.Rule, v.Judged, v.Remark))
}
