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

// sendRaw writes raw bytes to a new connection and returns the status and body of the HTTP answer.
func (f *Fleet) sendRaw(address, request string, timeout time.Duration) (status int, body string, err error) {
	conn, err := f.Scope.Net.Dial(f.Scope, "tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	go func() { _, _ = io.WriteString(conn, request) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	responseBody, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(responseBody), nil
}

// postRequest returns a POST request with a JSON body in HTTP/1.1 syntax.
func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

var _ = ginkgo.Describe("invalid input on every port", func() {
	scenario("given malformed, invalid, too large and too slow input, when it is sent to each port, then each is rejected at once with its kind and no process fails", []uint64{1}, func(f *Fleet) {
		startAll(f)
		m, controller := f.Nodes[1], f.Controllers[0]
		clients, upstreams, operators := m.PortAddress(clientsPort), m.PortAddress(upstreamsPort), controller.PortAddress(operatorsPort)
		for _, each := range []struct {
			address, request string
			status           int
			wanted           string
		}{
			{clients, "GET /catalogue/search HTTP/9.9\r\n\r\n", 505, ""},
			{clients, "nonsense\r\n\r\n", 400, ""},
			{clients, "BREW /catalogue/search HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{clients, "GET /catalogue/%ff%fe HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{clients, "GET /lending/hold/7 HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{clients, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400, ""},
			{clients, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde", 400, ""},
			{clients, "GET /catalogue/search HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 2<<20) + "\r\n\r\n", 431, ""},
			{clients, fmt.Sprintf("POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 5<<20, strings.Repeat("z", 5<<20)), 413, "too-large"},
			{upstreams, postRequest("/curlewreach/report", `{"service":`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"lending","address":"not an address"}`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","capacity":-3}`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","weight":"NaN"}`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","weight":1e999}`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"lending","address":"10.9.0.5:8001","capacity":4000000000}`), 400, "malformed"},
			{upstreams, postRequest("/curlewreach/report", `{"service":"`+strings.Repeat("a", 9000)+`"}`), 400, "malformed"},
			{upstreams, "GET /curlewreach/report HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no-route"},
			{operators, postRequest("/v1/draft", "\xff\xfe"), 400, "malformed"},
			{operators, postRequest("/v1/draft", `{"base":1,"base":2}`), 400, "malformed"},
			{operators, postRequest("/v1/draft", `{"base":1,"surprise":2}`), 400, "malformed"},
			{operators, postRequest("/v1/sign", `{}`), 400, "malformed"},
			{operators, postRequest("/v1/sign", `{"submission":"x","sealed":{"manifest":"AAAA","signature":"AAAA","signer":"x"}}`), 403, "untrusted"},
			{operators, "GET /v1/bundle?serial=99999999999999999999999 HTTP/1.1\r\nHost: x\r\n\r\n", 400, "malformed"},
			{operators, "GET /v1/bundle?serial=-1 HTTP/1.1\r\nHost: x\r\n\r\n", 400, "malformed"},
			{operators, "DELETE /v1/draft HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
			{m.Address, postRequest("/curlewreach.Flow/Carry", "\x00\x00\x00\x00\x05hello"), 415, ""},
			{m.Address, postRequest("/curlewreach.Kin/Beat", `{"roster":{"node":"`+strings.Repeat("q", 100)+`"}}`), 200, ""},
			{m.Address, postRequest("/curlewreach.Kin/Beat", `{}`), 400, ""},
			{m.Address, postRequest("/curlewreach.Flow/Vouch", `{"node":7}`), 400, ""},
			{controller.Address, postRequest("/curlewreach.Trove/Accept", `{}`), 400, ""},
			{controller.Address, postRequest("/curlewreach.Helm/Propose", `{}`), 0, ""},
			{controller.Address, postRequest("/curlewreach.Lens/Keep", `{"batch":{"spans":[{"durationUs":"-1"}]}}`), 400, ""},
		} {
			start := time.Now()
			status, body, err := f.sendRaw(each.address, each.request, 5*time.Second)
			Expect(err).NotTo(HaveOccurred(), "%.80q", each.request)
			if each.status > 0 {
				Expect(status).To(Equal(each.status), "%.80q: %s", each.request, body)
			}
			Expect(body).To(ContainSubstring(each.wanted), "%.80q", each.request)
			Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "%.80q", each.request)
		}
		for _, address := range []string{clients, upstreams, operators, m.Address, controller.Address, m.PortAddress(opsPort)} {
			start := time.Now()
			status, _, err := f.sendRaw(address, "GET /ready HTTP/1.1\r\nHost: x\r\nSlow", time.Minute)
			Expect(err != nil || status >= 400).To(BeTrue(), "a header that is never completed is rejected or its connection closed")
			Expect(time.Since(start)).To(BeNumerically("<", 20*time.Second))
		}
		start := time.Now()
		status, body, err := f.sendRaw(clients, "POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nslow", time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(base.HTTPResponses[base.Malformed].Status), body)
		Expect(time.Since(start)).To(BeNumerically("<", 7*time.Second), "a body that is never completed is rejected at the deadline")
		Expect(f.Ready(f.Machines())).To(BeTrue())
		Expect(f.send(m, holdRequest, "after all").Status).To(Equal(200))
		expectNoViolations(f, judge.RunOnce)
	})
})
