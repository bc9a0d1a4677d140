package admission

import (
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
)

var _ = ginkgo.Describe("holding bodies", func() {
	read := func(h *BodyMemory, size int, chunked bool, limit int64) ([]byte, func(), *base.Fault) {
		r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", size)))
		if chunked {
			r.ContentLength = -1
		}
		return h.Read(r, limit)
	}
	ginkgo.It("given a body within the configuration's limit, when it comes, then it is held whole, with a length or in chunks", func() {
		for _, chunked := range []bool{false, true} {
			h := NewBodyMemory(284)
			body, done, fault := read(h, 12<<20, chunked, 64<<20)
			gomega.Expect(fault).To(gomega.BeNil())
			gomega.Expect(body).To(gomega.HaveLen(12 << 20))
			gomega.Expect(h.held.Load()).To(gomega.BeEquivalentTo(12 << 20))
			done()
			gomega.Expect(h.held.Load()).To(gomega.BeZero())
		}
	})
	ginkgo.It("given a body over the configuration's limit, when it comes, then it is too large, and nothing stays held", func() {
		for _, chunked := range []bool{false, true} {
			h := NewBodyMemory(284)
			_, _, fault := read(h, 5000, chunked, 4000)
			gomega.Expect(fault.Kind).To(gomega.Equal(base.TooLarge))
			gomega.Expect(h.held.Load()).To(gomega.BeZero())
		}
	})
	ginkgo.It("given no room, when a body comes, then it is told to come back, and has room later", func() {
		h := NewBodyMemory(16)
		_, done, fault := read(h, 3<<20, false, 64<<20)
		gomega.Expect(fault).To(gomega.BeNil())
		_, _, fault = read(h, 3<<20, false, 64<<20)
		gomega.Expect(fault.Kind).To(gomega.Equal(base.Overloaded))
		gomega.Expect(fault.After).NotTo(gomega.BeZero())
		done()
		_, _, fault = read(h, 3<<20, false, 64<<20)
		gomega.Expect(fault).To(gomega.BeNil())
	})
})
