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

// storedFolder holds the files of a control machine as the version of 2026-12-02 (38ade5a) wrote them: after 301
// proposals, of which the last 300 each change route r-0 and raise the serial by two, and after a control machine
// was replaced following the 100th.
const (
	storedFolder = "testdata/landed-2026-12-02"
	storedSerial = 605
)

// storedDisk returns a disk with the files of storedFolder.
func storedDisk(t *testing.T) *simnet.Disk {
	t.Helper()
	disk := simnet.NewDisk(random.Seeded(1))
	entries, err := os.ReadDir(storedFolder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(storedFolder, entry.Name()))
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

// storedChange returns the change that led to a serial on that control machine.
func storedChange(serial uint64) *wire.ConfigurationProposal {
	route := &wire.ConfigurationRoute{
		Name: "r-0", Host: "a.example", Prefix: "/", CutoffMs: 2000 + float64(serial-7)/2, AimMs: 500, Tries: 2, Service: serviceName("loans"),
	}
	return &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: serial, Base: serial - 2, Routes: []*wire.ConfigurationRoute{route}}}
}

func TestStateWrittenByPreviousVersionIsRead(t *testing.T) {
	_, state, err := statestore.Open(storedDisk(t), func(string, string, string) {})
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
	if c.GetSerial() != storedSerial || len(config.Check(c)) > 0 || len(c.Routes) != 1 || c.Routes[0].CutoffMs != 2299 {
		t.Errorf("the configuration is %v", c)
	}
	for _, serial := range []uint64{7, 205, storedSerial} {
		if lookUpProposal(head, proposalIDOf(storedChange(serial))) != committed {
			t.Errorf("the proposal of serial %d is not known to be committed", serial)
		}
	}
	other := storedChange(storedSerial)
	other.Change.Routes[0].Tries = 1
	if lookUpProposal(head, proposalIDOf(other)) != notCommitted {
		t.Error("another proposal with the same serial is taken for the committed one")
	}
}
