package controlplane

import (
	"context"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// configurationVersion is a decoded version of the register that holds the configuration. Its head is the
// configuration together with the recently committed proposals. It is immutable but for its cached encodings.
type configurationVersion struct {
	version *wire.Version
	head    *wire.ConfigurationHead
	packed  *packedForms
}

func newConfigurationVersion(version *wire.Version, head *wire.ConfigurationHead) *configurationVersion {
	return &configurationVersion{version: version, head: head, packed: newPackedForms(head.GetConfiguration())}
}

// decode returns the decoded form of a newer version. It returns v if version is nil, the same, or unreadable. A
// version with the same value shares the decoded head and the cached encodings.
func (v *configurationVersion) decode(s base.Scope, version *wire.Version) *configurationVersion {
	if version == nil || version == v.version {
		return v
	}
	if v.version != nil && string(v.version.Value) == string(version.Value) {
		return &configurationVersion{version: version, head: v.head, packed: v.packed}
	}
	head := &wire.ConfigurationHead{}
	if err := proto.Unmarshal(version.Value, head); err != nil {
		s.Record("configuration-unreadable", ConfigurationKey, err.Error())
		return v
	}
	return newConfigurationVersion(version, head)
}

// serial returns the configuration's serial, or 0 if there is no configuration yet.
func (v *configurationVersion) serial() uint64 { return v.head.GetConfiguration().GetSerial() }

// Configuration returns the newest committed configuration as a majority of disks holds it, or nil if there is
// none. The caller must not modify it. It fails if no majority answers in time.
func (m *Server) Configuration(ctx context.Context) (*wire.Configuration, error) {
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.NoState, "", "this control machine has not joined its peers")
	}
	s, cancel := m.scope.WithContext(ctx).WithTimeout(ratioOf(m.params.Load().Ack, operatorTimeoutRatio))
	defer cancel()
	for {
		result := c.replica.QuorumRead(s, ConfigurationKey)
		if !result.MajorityReplied {
			return nil, base.NewFault(base.Unreachable, ConfigurationKey, "no majority of disks answered")
		}
		if result.UpToDate {
			return m.configuration.Load().decode(s, result.Version).head.GetConfiguration(), nil
		}
		value, err := c.replica.Read(s, ConfigurationKey)
		if err == nil {
			head := &wire.ConfigurationHead{}
			err = proto.Unmarshal(value, head)
			return head.Configuration, err
		}
		m.backOff(s)
		if s.Err() != nil {
			return nil, base.FaultOf(err)
		}
	}
}
