package controlplane

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/config"
	"curlewreach/internal/random"
	"curlewreach/internal/statestore"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

// landedFolder holds the files of a control machine as the version that landed on 2026-12-02 (38ade5a) wrote them: 301
// orders, the last 300 of them changes of route r-0 by two serials each, and a control machine replaced after 100.
const (
	landedFolder = "testdata/landed-2026-12-02"
	landedSerial = 605
)

// landedDisk returns a disk with those files.
func landedDisk(t *testing.T) *simnet.Disk {
	t.Helper()
	disk := simnet.NewDisk(random.Seeded(1))
	entries, err := os.ReadDir(landedFolder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(landedFolder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		file, err := disk.Create(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(content); err != nil {
			t.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	return disk
}

// landedChange is the change that led to a serial on that machine.
func landedChange(serial uint64) *wire.ConfigurationProposal {
	route := &wire.ConfigurationRoute{
		Name: "r-0", Host: "a.example", Prefix: "/", CutoffMs: 2000 + float64(serial-7)/2, AimMs: 500, Tries: 2, Service: service("loans"),
	}
	return &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: serial, Base: serial - 2, Routes: []*wire.ConfigurationRoute{route}}}
}

func TestStateWrittenByTheVersionBeforeIsRead(t *testing.T) {
	_, state, err := statestore.Open(landedDisk(t), func(string, string, string) {})
	if err != nil || state == nil {
		t.Fatalf("state %v, %v", state, err)
	}
	if state.Membership.GetGeneration() < 2 || len(state.Membership.GetVoters()) != 3 {
		t.Errorf("the members are %v", state.Membership)
	}
	head := &wire.ConfigurationHead{}
	if err := proto.Unmarshal(state.Registers[ConfigurationKey].GetAccepted().GetValue(), head); err != nil {
		t.Fatal(err)
	}
	c := head.GetConfiguration()
	if c.GetSerial() != landedSerial || len(config.Check(c)) > 0 || len(c.Routes) != 1 || c.Routes[0].CutoffMs != 2299 {
		t.Errorf("the configuration is %v", c)
	}
	for _, serial := range []uint64{7, 205, landedSerial} {
		if lookUp(head, orderOf(landedChange(serial))) != taken {
			t.Errorf("the order of serial %d is not known to have been taken", serial)
		}
	}
	other := landedChange(landedSerial)
	other.Change.Routes[0].Tries = 1
	if lookUp(head, orderOf(other)) != unseen {
		t.Error("another order under the same serial passes for one that was taken")
	}
}
