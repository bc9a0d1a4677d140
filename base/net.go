package base

import (
	"bufio"
	"context"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Net opens listeners and connections on the network of one machine.
type Net interface {
	// Listen opens a TCP listener.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection like net.Dialer.DialContext.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// ListenerID returns an identifier of the sockets that listen on an IPv4
	// address and port. It differs between a process and its successor at the
	// same address. It returns "" if the sockets can't be determined.
	ListenerID(address string) string
}

type realNet struct{ dialer net.Dialer }

// RealNet returns the network of the operating system.
func RealNet() Net { return &realNet{} }

func (n *realNet) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (n *realNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

// tcpListenState is the value of the state column in /proc/net/tcp for TCP_LISTEN.
const tcpListenState = "0A"

// ListenerID returns the inodes of the listening sockets, sorted as text and
// separated by commas. It includes sockets that listen on all addresses.
func (n *realNet) ListenerID(address string) string {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || !addrPort.Addr().Is4() {
		return ""
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	exact := procAddress(addrPort.Addr().As4(), addrPort.Port())
	wildcard := procAddress([4]byte{}, addrPort.Port())
	var inodes []string
	lines := bufio.NewScanner(file)
	lines.Scan()
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[3] != tcpListenState {
			break // listening sockets come first in the file
		}
		if fields[1] == exact || fields[1] == wildcard {
			inodes = append(inodes, fields[9])
		}
	}
	slices.Sort(inodes)
	return strings.Join(inodes, ",")
}

// procAddress returns an IPv4 address and port in the notation of /proc/net/tcp:
// the bytes of the address in reverse order, as on little-endian machines, and
// the port, both in uppercase hexadecimal.
func procAddress(ip [4]byte, port uint16) string {
	slices.Reverse(ip[:])
	return strings.ToUpper(hex.EncodeToString(ip[:])) + ":" + strings.ToUpper(strconv.FormatUint(uint64(port)|0x10000, 16)[1:])
}
