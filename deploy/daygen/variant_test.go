package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A changed copy of a site file", func() {
	copyOf := func(variant Variant) (document, error) {
		path, err := CopySite(writeSite(siteText), ginkgo.GinkgoT().TempDir(), variant)
		if err != nil {
			return nil, err
		}
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		return normalizeLists(decode(string(text))), nil
	}

	ginkgo.It("is the same without changes", func() {
		Expect(copyOf(Variant{})).To(Equal(normalizeLists(decode(siteText))))
	})

	ginkgo.It("has the changes and no others", func() {
		changed, err := copyOf(Variant{
			LengthS: 150, CoreCount: 5, Tolerate: 1, CrossZoneMs: 5, LagMs: 2000, BeatMs: 700,
			Contracts: []string{"base"}, Bounds: map[string]int64{"ack_ms": 3000},
		})
		Expect(err).NotTo(HaveOccurred())
		expected := decode(siteText)
		expected["length_s"] = 150.0
		expected["contracts"] = []any{"base"}
		expected["tolerate"] = document{"machines": int64(1)}
		expected["net"] = document{"cross_zone_ms": 5.0}
		expected["discovery"] = document{"lag_ms": int64(2000), "beat_ms": int64(700)}
		expected["bounds"] = document{"ack_ms": int64(3000)}
		cores := coreEntries(expected)
		cores[0]["count"], cores[1]["count"] = int64(3), int64(2)
		Expect(changed).To(Equal(normalizeLists(expected)))
	})

	ginkgo.It("scales the processor shares of all machines, and rejects a site without them", func() {
		source := writeSite(strings.ReplaceAll(siteText, "count = ", "cpu_share = 0.48, count = "))
		path, err := CopySite(source, ginkgo.GinkgoT().TempDir(), Variant{CPUFactor: 0.25})
		Expect(err).NotTo(HaveOccurred())
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		machines := machineEntries(decode(string(text)))
		Expect(machines).To(HaveLen(3))
		for _, machine := range machines {
			Expect(machine["cpu_share"]).To(BeNumerically("~", 0.12, 1e-9))
		}
		_, err = copyOf(Variant{CPUFactor: 0.25})
		Expect(err).To(MatchError(ContainSubstring("cpu_share")))
	})

	ginkgo.It("comes with the files that belong to the site", func() {
		source := writeSite(siteText)
		Expect(os.WriteFile(filepath.Join(filepath.Dir(source), "wire.json"), []byte("{}"), 0o644)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(filepath.Dir(source), "example.days"), []byte("sealed"), 0o644)).To(Succeed())
		folder := ginkgo.GinkgoT().TempDir()
		_, err := CopySite(source, folder, Variant{})
		Expect(err).NotTo(HaveOccurred())
		Expect(os.ReadFile(filepath.Join(folder, "wire.json"))).To(BeEquivalentTo("{}"))
		Expect(os.ReadFile(filepath.Join(folder, "example.days"))).To(BeEquivalentTo("sealed"))
	})

	ginkgo.It("rejects bounds that the site doesn't have, and fewer core machines than entries", func() {
		_, err := copyOf(Variant{Bounds: map[string]int64{"ack": 1}})
		Expect(err).To(MatchError(ContainSubstring("bounds.ack")))
		_, err = copyOf(Variant{CoreCount: 1})
		Expect(err).To(MatchError(ContainSubstring("too few")))
	})
})

// normalizeLists converts lists of tables to one type, whether the file has them as inline tables or not.
func normalizeLists(decoded document) document {
	normalized := document{}
	for key, value := range decoded {
		normalized[key] = value
		if tables, ok := value.([]document); ok {
			list := []any{}
			for _, table := range tables {
				list = append(list, table)
			}
			normalized[key] = list
		}
	}
	return normalized
}
