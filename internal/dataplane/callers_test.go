package dataplane

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("callers", func() {
	ginkgo.It("given a route that one of the zone's services never calls, when enough calls came, then it is a further call's", func() {
		c := NewCallers()
		further := false
		for range 2 * enoughCalls {
			further = c.Further("licence", "desk", []string{"desk", "ledger"})
		}
		gomega.Expect(further).To(gomega.BeTrue())
	})
	ginkgo.It("given a route that every service calls, when enough calls came, then it is the visitors'", func() {
		c := NewCallers()
		for i := range 4 * enoughCalls {
			gomega.Expect(c.Further("search", []string{"desk", "ledger"}[i%2], []string{"desk", "ledger"})).To(gomega.BeFalse())
		}
	})
	ginkgo.It("given a zone without the other service, when only this one calls, then nothing is concluded", func() {
		c := NewCallers()
		for range 2 * enoughCalls {
			gomega.Expect(c.Further("search", "ledger", []string{"ledger"})).To(gomega.BeFalse())
		}
	})
})
