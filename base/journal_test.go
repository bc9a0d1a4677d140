package base

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the journal", func() {
	ginkgo.It("given events about two subjects, when the last two about one are requested, then its two newest events are returned, oldest first", func() {
		j := NewJournal(10)
		for i := range 8 {
			j.Append(Event{Topic: fmt.Sprint(i), Subject: []string{"a", "b"}[i%2]})
		}
		last := j.Last("a", 2)
		Expect(last).To(HaveLen(2))
		Expect([]string{last[0].Topic, last[1].Topic}).To(Equal([]string{"4", "6"}))
		Expect(j.Last("", 3)).To(HaveLen(3))
	})
})
