package main

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The TOML of a day", func() {
	ginkgo.It("contains what was drawn, with floats distinct from integers", func() {
		day := Day{
			Name: "example", Comment: "a comment", Seed: 7,
			Closing: &Closing{Kind: "kill_all", DownS: 1, How: "timed"},
			Plan:    []Entry{{At: 3, Kind: "config_change", How: "idle"}},
			Faults:  []Entry{{At: 4.25, Kind: "core_cut", Count: 2, ForS: 16, How: "leader race"}},
		}
		Expect(decode(day.TOML())).To(Equal(document{
			"name": "example", "slot": "trouble", "seed": int64(7),
			"closing": document{"kind": "kill_all", "down_s": 1.0, "how": "timed"},
			"plan":    []any{document{"at": 3.0, "kind": "config_change", "how": "idle"}},
			"faults":  []any{document{"at": 4.25, "kind": "core_cut", "count": int64(2), "for_s": 16.0, "how": "leader race"}},
		}))
	})
})
