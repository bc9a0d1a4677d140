package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bundle")
}

var limits = DefaultLimits(6 * time.Second)

// loadExample returns the bundle of an example folder with serial 1 and defaults.
func loadExample(name string) *wire.Bundle {
	body, err := os.ReadFile("../../examples/" + name + "/bundle.json")
	Expect(err).NotTo(HaveOccurred())
	b := &wire.Bundle{}
	Expect(protojson.Unmarshal(body, b)).To(Succeed())
	b.Serial = 1
	SetDefaults(b, limits)
	return b
}

// testKey returns a private key determined by the seed, and the trust in it.
func testKey(seed byte) (ed25519.PrivateKey, Trust) {
	key := ed25519.NewKeyFromSeed(append(make([]byte, 31), seed))
	trust, err := NewTrust([]string{base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))})
	Expect(err).NotTo(HaveOccurred())
	return key, trust
}

func encodeAndSign(b *wire.Bundle, key ed25519.PrivateKey) *wire.Sealed {
	sealed, err := Encode(b)
	Expect(err).NotTo(HaveOccurred())
	Sign(sealed, key)
	return sealed
}

var _ = ginkgo.Describe("a bundle", func() {
	ginkgo.It("given the examples, when checked, then they pass", func() {
		Expect(Check(loadExample("library"), limits)).To(BeNil())
		Expect(Check(loadExample("gauge"), limits)).To(BeNil())
	})

	ginkgo.DescribeTable("given a bundle with one fault, when checked, then it is rejected with the fault's kind and path",
		func(kind base.Kind, path string, corrupt func(*wire.Bundle)) {
			b := loadExample("library")
			corrupt(b)
			fault := Check(b, limits)
			Expect(fault).NotTo(BeNil())
			Expect(fault.Kind).To(Equal(kind), fault.Error())
			Expect(fault.Path).To(Equal(path))
		},
		ginkgo.Entry("bad name", base.OutOfRange, "services[0].name", func(b *wire.Bundle) { b.Services[0].Name = "No Good" }),
		ginkgo.Entry("bad address", base.OutOfRange, "common.machines[0].address", func(b *wire.Bundle) { b.Common.Machines[0].Address = "host:80" }),
		ginkgo.Entry("machine twice", base.Duplicate, "common.machines[1].name", func(b *wire.Bundle) { b.Common.Machines[1].Name = b.Common.Machines[0].Name }),
		ginkgo.Entry("address twice", base.Duplicate, "common.machines[1].address", func(b *wire.Bundle) { b.Common.Machines[1].Address = b.Common.Machines[0].Address }),
		ginkgo.Entry("no application machine", base.OutOfRange, "common.machines", func(b *wire.Bundle) { b.Common.Machines = b.Common.Machines[:3] }),
		ginkgo.Entry("share of no service", base.DanglingReference, "common.shares[0].services[2]", func(b *wire.Bundle) { b.Common.Shares[0].Services = append(b.Common.Shares[0].Services, "unknown") }),
		ginkgo.Entry("service in two shares", base.Duplicate, "common.shares[1].services[0]", func(b *wire.Bundle) { b.Common.Shares[1].Services = []string{"lending"} }),
		ginkgo.Entry("service in no share", base.DanglingReference, "services[1].name", func(b *wire.Bundle) { b.Common.Shares[0].Services = []string{"catalogue"} }),
		ginkgo.Entry("route's group unknown", base.DanglingReference, "services[0].routes[0].group", func(b *wire.Bundle) { b.Services[0].Routes[0].Group = "unknown" }),
		ginkgo.Entry("machine calls no service", base.DanglingReference, "common.machines[4].calls[0]", func(b *wire.Bundle) { b.Common.Machines[4].Calls = []string{"unknown"} }),
		ginkgo.Entry("route twice", base.Duplicate, "services[0].routes[1].name", func(b *wire.Bundle) { b.Services[0].Routes[1].Name = "search" }),
		ginkgo.Entry("overlapping templates", base.Overlapping, "services[1].routes[2].path", func(b *wire.Bundle) { b.Services[1].Routes[2].Path = "/catalogue/{any}" }),
		ginkgo.Entry("overlapping placeholders", base.Overlapping, "services[1].routes[2].path", func(b *wire.Bundle) { b.Services[1].Routes[2].Path = "/{any}/shelf/{n}" }),
		ginkgo.Entry("further call to an unknown route", base.DanglingReference, "services[1].routes[0].further[0]", func(b *wire.Bundle) { b.Services[1].Routes[0].Further[0].Route = "unknown" }),
		ginkgo.Entry("bad key field", base.OutOfRange, "services[1].routes[0].further[0].keys[0].parent", func(b *wire.Bundle) { b.Services[1].Routes[0].Further[0].Keys[0].Parent = "cookie:x" }),
		ginkgo.Entry("deadline beyond the grace period", base.OutOfRange, "services[0].routes[0].deadline", func(b *wire.Bundle) { b.Services[0].Routes[0].Deadline = durationpb.New(5100 * time.Millisecond) }),
		ginkgo.Entry("too many repeats", base.OutOfRange, "services[0].repeats", func(b *wire.Bundle) { b.Services[0].Repeats = 0.3 }),
		ginkgo.Entry("sampling probabilities that could be zero", base.OutOfRange, "common.tracing.epsilon", func(b *wire.Bundle) { b.Common.Tracing.Epsilon = -1 }),
		ginkgo.Entry("unknown utility", base.OutOfRange, "common.tracing.utility", func(b *wire.Bundle) { b.Common.Tracing.Utility = "unknown" }),
	)

	ginkgo.It("given too many routes, when checked, then it is rejected as too large", func() {
		b := loadExample("library")
		lowLimits := limits
		lowLimits.Routes = 3
		Expect(Check(b, lowLimits).Kind).To(Equal(base.TooLarge))
	})

	ginkgo.It("given a signed bundle, when sliced, then the slice verifies and has only the needed parts", func() {
		key, trust := testKey(1)
		sealed := encodeAndSign(loadExample("library"), key)
		b := Index(sealed, loadExample("library"))
		b.Machine("app-1").Calls = []string{"catalogue"}
		slice := Slice(sealed, b.NeededServices("app-1", nil))
		Expect(slice.Parts).To(HaveLen(2))
		_, fault := trust.Verify(slice)
		Expect(fault).To(BeNil())
		decoded, fault := Decode(slice)
		Expect(fault).To(BeNil())
		Expect(decoded.Services).To(HaveLen(1))
		Expect(Slice(sealed, b.NeededServices("app-1", []string{"lending"})).Parts).To(HaveLen(3), "the further calls of an instance are needed as well")
	})

	ginkgo.DescribeTable("given a sealed bundle that was tampered with, when verified, then it is rejected",
		func(kind base.Kind, tamper func(*wire.Sealed)) {
			key, trust := testKey(1)
			sealed := proto.Clone(encodeAndSign(loadExample("library"), key)).(*wire.Sealed)
			tamper(sealed)
			_, fault := trust.Verify(sealed)
			Expect(fault).NotTo(BeNil())
			Expect(fault.Kind).To(Equal(kind))
		},
		ginkgo.Entry("unsigned", base.Unsigned, func(s *wire.Sealed) { s.Signature = nil }),
		ginkgo.Entry("another signature", base.Untrusted, func(s *wire.Sealed) { s.Signature[3] ^= 1 }),
		ginkgo.Entry("another manifest", base.Untrusted, func(s *wire.Sealed) { s.Manifest[len(s.Manifest)-1] ^= 1 }),
		ginkgo.Entry("a changed part", base.Malformed, func(s *wire.Sealed) { s.Parts[1].Body[9] ^= 1 }),
		ginkgo.Entry("a part twice", base.Malformed, func(s *wire.Sealed) { s.Parts = append(s.Parts, s.Parts[1]) }),
		ginkgo.Entry("a part not listed", base.Malformed, func(s *wire.Sealed) { s.Parts = append(s.Parts, &wire.Part{Name: "service/x"}) }),
		ginkgo.Entry("an untrusted key", base.Untrusted, func(s *wire.Sealed) {
			other, _ := testKey(2)
			Sign(s, other)
		}),
	)

	ginkgo.It("given a small change, when applied, then only the changed items differ", func() {
		before := loadExample("library")
		after := Apply(before, &wire.Change{
			Shares: []*wire.Share{{Group: "librarians", Carried: 2, Watched: 2}}, DropMachines: []string{"app-12"},
		})
		Expect(Diff(before, after)).To(ConsistOf("~ share librarians", "- machine app-12"))
		Expect(Diff(before, before)).To(BeEmpty())
	})

	ginkgo.It("given path templates, when requests are matched, then path params are returned and unknown paths are not found", func() {
		b := Index(nil, loadExample("library"))
		match, known := b.Match("GET", "/catalogue/shelf/42")
		Expect(known).To(BeTrue())
		Expect(match.Identifier()).To(Equal("catalogue/shelf"))
		Expect(match.Group).To(Equal("patrons"))
		Expect(b.PathParams(match, "/catalogue/shelf/42")).To(Equal(map[string]string{"card": "42"}))
		_, known = b.Match("POST", "/catalogue/shelf/42")
		Expect(known).To(BeFalse())
		_, known = b.Match("GET", "/catalogue")
		Expect(known).To(BeFalse())
		report, _ := b.Match("GET", "/catalogue/report/1")
		Expect(report.Group).To(Equal("librarians"))
	})
})
