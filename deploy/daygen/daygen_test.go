package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDaygen(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "daygen")
}

const siteText = `
name = "example"
wire = "wire.json"
contracts = ["base", "config"]
length_s = 32.0
zones = [ { name = "north" }, { name = "south" } ]
machines = [
  { class = "side", zone = "north", count = 3 },
  { class = "core", zone = "north", count = 1, spare = 1 },
  { class = "core", zone = "south", count = 1, spare = 1 },
]
services = [ { name = "books" }, { name = "loans" } ]
classes = [ { name = "search" }, { name = "licence", inner = true } ]

[tolerate]
machines = 2

[net]
cross_zone_ms = 0.9

[discovery]
lag_ms = 800
beat_ms = 1500

[bounds]
ack_ms = 4000

[[day]]
name = "quiet"
seed = 1
`

// writeSite writes a site file to a temporary folder and returns its path.
func writeSite(text string) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), "example.toml")
	Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
	return path
}

func readExample() Site {
	site, err := ReadSite(writeSite(siteText))
	Expect(err).NotTo(HaveOccurred())
	return site
}

// decode decodes TOML, and fails the test if it isn't valid.
func decode(text string) document {
	var decoded document
	_, err := toml.Decode(text, &decoded)
	Expect(err).NotTo(HaveOccurred())
	return decoded
}
