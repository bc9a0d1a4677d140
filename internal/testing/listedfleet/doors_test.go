package listedfleet

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
)

func (f *Fleet) raw(address, text string, wait time.Duration) (status int, body string, err error) {
	conn, err := f.Scope.Net.Dial(f.Scope, "tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	said, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(said), nil
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

var _ = ginkgo.Describe("bad input at every door", func() {
	story("given malformed, wrong, too large and too slow input, when sent to each door, then each is answered with its kind at once and nothing falls", []uint64{1}, func(f *Fleet) {
		raised(f)
		m, controller := f.Vanes[1], f.Keels[0]
		visitors, upstreams, operators := m.At(visitorsPort), m.At(upstreamsPort), controller.At(operatorsPort)
		for _, each := range []struct {
			door, text string
			status     int
			said       string
		}{
			{visitors, "GET /catalogue/search HTTP/9.9\r\n\r\n", 505, ""},
			{visitors, "nonsense\r\n\r\n", 400, ""},
			{visitors, "BREW /catalogue/search HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{visitors, "GET /catalogue/%ff%fe HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{visitors, "GET /lending/hold/7 HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{visitors, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400, ""},
			{visitors, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde", 400, ""},
			{visitors, "GET /catalogue/search HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 2<<20) + "\r\n\r\n", 431, ""},
			{visitors, fmt.Sprintf("POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 5<<20, strings.Repeat("z", 5<<20)), 413, "too-large"},
			{upstreams, post("/curlewreach/report", `{"service":`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"lending","address":"not an address"}`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","capacity":-3}`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","weight":"NaN"}`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","weight":1e999}`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","capacity":4000000000}`), 400, "malformed"},
			{upstreams, post("/curlewreach/report", `{"service":"`+strings.Repeat("a", 9000)+`"}`), 400, "malformed"},
			{upstreams, "GET /curlewreach/report HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{operators, post("/v1/draft", "\xff\xfe"), 400, "malformed"},
			{operators, post("/v1/draft", `{"base":1,"base":2}`), 400, "malformed"},
			{operators, post("/v1/draft", `{"base":1,"surprise":2}`), 400, "malformed"},
			{operators, post("/v1/sign", `{}`), 400, "malformed"},
			{operators, post("/v1/sign", `{"submission":"x","sealed":{"manifest":"AAAA","signature":"AAAA","signer":"x"}}`), 403, "untrusted"},
			{operators, "GET /v1/bundle?serial=99999999999999999999999 HTTP/1.1\r\nHost: x\r\n\r\n", 400, "malformed"},
			{operators, "GET /v1/bundle?serial=-1 HTTP/1.1\r\nHost: x\r\n\r\n", 400, "malformed"},
			{operators, "DELETE /v1/draft HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
			{m.Address, post("/curlewreach.Flow/Carry", "\x00\x00\x00\x00\x05hello"), 415, ""},
			{m.Address, post("/curlewreach.Kin/Beat", `{"roster":{"node":"`+strings.Repeat("q", 100)+`"}}`), 200, ""},
			{m.Address, post("/curlewreach.Kin/Beat", `{}`), 400, ""},
			{m.Address, post("/curlewreach.Flow/Vouch", `{"node":7}`), 400, ""},
			{controller.Address, post("/curlewreach.Trove/Accept", `{}`), 400, ""},
			{controller.Address, post("/curlewreach.Helm/Propose", `{}`), 0, ""},
			{controller.Address, post("/curlewreach.Lens/Keep", `{"batch":{"spans":[{"durationUs":"-1"}]}}`), 400, ""},
		} {
			begun := time.Now()
			status, said, err := f.raw(each.door, each.text, 5*time.Second)
			Expect(err).NotTo(HaveOccurred(), "%.80q", each.text)
			if each.status > 0 {
				Expect(status).To(Equal(each.status), "%.80q: %s", each.text, said)
			}
			Expect(said).To(ContainSubstring(each.said), "%.80q", each.text)
			Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second), "%.80q", each.text)
		}
		for _, door := range []string{visitors, upstreams, operators, m.Address, controller.Address, m.At(opsPort)} {
			begun := time.Now()
			status, _, err := f.raw(door, "GET /ready HTTP/1.1\r\nHost: x\r\nSlow", time.Minute)
			Expect(err != nil || status >= 400).To(BeTrue(), "a header that never ends is cut off")
			Expect(time.Since(begun)).To(BeNumerically("<", 20*time.Second))
		}
		begun := time.Now()
		status, said, err := f.raw(visitors, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nslow", time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(base.HTTPResponses[base.Malformed].Status), said)
		Expect(time.Since(begun)).To(BeNumerically("<", 7*time.Second), "a body that never ends is given up on by the deadline")
		Expect(f.Ready(f.Every())).To(BeTrue())
		Expect(f.ask(m, hold, "after all").Status).To(Equal(200))
		sound(f, judge.RunOnce)
	})
})
