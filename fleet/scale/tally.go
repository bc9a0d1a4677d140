package scale

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"curlewreach/base"
)

// Tally counts what a process moves.
type Tally struct {
	in, out, sends, dials, syncs, written atomic.Int64
}

type countedNet struct {
	base.Net
	tally *Tally
}

type countedListener struct {
	net.Listener
	tally *Tally
}

type countedConn struct {
	net.Conn
	tally *Tally
}

func (n countedNet) Listen(address string) (net.Listener, error) {
	listener, err := n.Net.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{listener, n.tally}, nil
}

func (n countedNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.tally.dials.Add(1)
	return countedConn{conn, n.tally}, nil
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.tally}, nil
}

func (c countedConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.tally.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.tally.out.Add(int64(n))
	c.tally.sends.Add(1)
	return n, err
}

type countedDisk struct {
	base.Disk
	tally *Tally
}

type countedFile struct {
	base.DiskFile
	tally *Tally
}

func (d countedDisk) Create(name string) (base.DiskFile, error) {
	file, err := d.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return countedFile{file, d.tally}, nil
}

func (d countedDisk) SyncFolder(folder string) error {
	d.tally.syncs.Add(1)
	return d.Disk.SyncFolder(folder)
}

func (f countedFile) Write(body []byte) (int, error) {
	f.tally.written.Add(int64(len(body)))
	return f.DiskFile.Write(body)
}

func (f countedFile) Sync() error {
	f.tally.syncs.Add(1)
	return f.DiskFile.Sync()
}

// Stat is a process's word on itself; counts run from its start.
type Stat struct {
	At      time.Duration
	Cpu     time.Duration
	Memory  int64
	In      int64
	Out     int64
	Sends   int64
	Dials   int64
	Syncs   int64
	Written int64
	Ready   bool
	Crowd   *CrowdStat
}

func (t *Tally) stat() Stat {
	return Stat{
		At: now(), Cpu: spent(), Memory: resident(), In: t.in.Load(), Out: t.out.Load(), Sends: t.sends.Load(), Dials: t.dials.Load(),
		Syncs: t.syncs.Load(), Written: t.written.Load(),
	}
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

func spent() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func resident() int64 {
	body, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
