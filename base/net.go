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

// Net is the network as one machine sees it.
type Net interface {
	// Listen opens a TCP listener.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection, as net.Dialer.DialContext does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// ListenerID identifies the sockets that listen at an IPv4 address, so that a
	// successor at the same address can be told from its predecessor. It
	// returns "" if that can't be learned.
	ListenerID(address string) string
}

type realNet struct{ dialer net.Dialer }

// RealNet returns the machine's network.
func RealNet() Net { return &realNet{} }

func (n *realNet) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (n *realNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

// listening is the state TCP_LISTEN in /proc/net/tcp.
const listening = "0A"

func (n *realNet) ListenerID(address string) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return ""
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	wanted := procName(at.Addr().As4(), at.Port())
	anywhere := procName([4]byte{}, at.Port())
	var inodes []string
	lines := bufio.NewScanner(file)
	lines.Scan()
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[3] != listening {
			break
		}
		if fields[1] == wanted || fields[1] == anywhere {
			inodes = append(inodes, fields[9])
		}
	}
	slices.Sort(inodes)
	return strings.Join(inodes, ",")
}

func procName(ip [4]byte, port uint16) string {
	slices.Reverse(ip[:])
	return strings.ToUpper(hex.EncodeToString(ip[:])) + ":" + strings.ToUpper(strconv.FormatUint(uint64(port)|0x10000, 16)[1:])
}
