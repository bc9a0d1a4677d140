package quorum

import (
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("files of the first version", func() {
	ginkgo.It("given a disk written by the first version, when the store is opened, then it may vote, no key is damaged, and it promises higher epochs", func() {
		folder := ginkgo.GinkgoT().TempDir()
		Expect(os.CopyFS(folder, os.DirFS("../../proto/compat/testdata/core"))).To(Succeed())
		disk, err := storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		s := base.Scope{Context: ginkgo.GinkgoT().Context(), Clock: base.RealClock(), Disk: disk, Rand: random.Seeded(1), Log: hclog.NewNullLogger(), Journal: base.NewJournal(100)}
		store, err := OpenStore(s, 8)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Phase()).To(Equal(wire.Phase_FOUNDED))
		Expect(store.DamagedKeys()).To(BeEmpty())
		Expect(store.Keys()).To(ContainElements("bundle", "learning"))
		promised, entry := store.Peek("bundle")
		head := &wire.Head{}
		Expect(proto.Unmarshal(entry.Value, head)).To(Succeed())
		signed, fault := bundle.Decode(head.Sealed)
		Expect(fault).To(BeNil())
		Expect(signed.Serial).To(Equal(uint64(2)))
		bounded, cancel := s.WithTimeout(time.Second)
		defer cancel()
		granted, _, held, err := store.Promise(bounded, "bundle", &wire.Epoch{Number: promised.Number + 1, Keel: controllerID("10.9.0.1:7001")})
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeTrue())
		Expect(held.Serial).To(Equal(entry.Serial))
		reopened, err := OpenStore(s, 8)
		Expect(err).NotTo(HaveOccurred())
		after, _ := reopened.Peek("bundle")
		Expect(after.Number).To(Equal(promised.Number + 1))
	})
})
