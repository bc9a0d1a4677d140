package admission

import (
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
)

var _ = ginkgo.Describe("the memory of request bodies", func() {
	read := func(memory *BodyMemory, size int, chunked bool, limit int64) ([]byte, func(), *base.Fault) {
		r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", size)))
		if chunked {
			r.ContentLength = -1
		}
		return memory.Read(r, limit)
	}
	ginkgo.It("given a body within the configured limit, when it is read, with a length or in chunks, then all of it counts against the memory until it is released", func() {
		for _, chunked := range []bool{false, true} {
			memory := NewBodyMemory(284)
			body, release, fault := read(memory, 12<<20, chunked, 64<<20)
			gomega.Expect(fault).To(gomega.BeNil())
			gomega.Expect(body).To(gomega.HaveLen(12 << 20))
			gomega.Expect(memory.reserved.Load()).To(gomega.BeEquivalentTo(12 << 20))
			release()
			gomega.Expect(memory.reserved.Load()).To(gomega.BeZero())
		}
	})
	ginkgo.It("given a body over the configured limit, when it is read, then it is too large and no memory stays reserved", func() {
		for _, chunked := range []bool{false, true} {
			memory := NewBodyMemory(284)
			_, _, fault := read(memory, 5000, chunked, 4000)
			gomega.Expect(fault.Kind).To(gomega.Equal(base.TooLarge))
			gomega.Expect(memory.reserved.Load()).To(gomega.BeZero())
		}
	})
	ginkgo.It("given too little memory, when a body is read, then it is rejected with a time to retry, and accepted once memory is released", func() {
		memory := NewBodyMemory(16)
		_, release, fault := read(memory, 3<<20, false, 64<<20)
		gomega.Expect(fault).To(gomega.BeNil())
		_, _, fault = read(memory, 3<<20, false, 64<<20)
		gomega.Expect(fault.Kind).To(gomega.Equal(base.Overloaded))
		gomega.Expect(fault.RetryAfter).NotTo(gomega.BeZero())
		release()
		_, _, fault = read(memory, 3<<20, false, 64<<20)
		gomega.Expect(fault).To(gomega.BeNil())
	})
})
