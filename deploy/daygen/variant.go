package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Variant is a set of changes to a site file. Zero values leave a field as it is.
type Variant struct {
	LengthS     float64
	CoreCount   int
	Tolerate    int
	CrossZoneMs float64
	// CPUFactor multiplies the processor share of every machine.
	CPUFactor float64
	LagMs     int64
	BeatMs    int64
	Contracts []string
	// Bounds are integers that replace those in the table 'bounds', by name.
	Bounds map[string]int64
}

// document is a decoded TOML table.
type document = map[string]any

// CopySite writes a changed copy of a site file, and copies of the files next to it that it refers to, to a folder. It
// returns the path of the copy.
func CopySite(path, folder string, variant Variant) (string, error) {
	var site document
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return "", errors.Wrap(err, "read the site file")
	}
	if err := variant.apply(site); err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", errors.Wrap(err, "create the folder of the copy")
	}
	if err := copyCompanions(path, folder, site); err != nil {
		return "", err
	}
	target := filepath.Join(folder, filepath.Base(path))
	text, err := toml.Marshal(site)
	if err != nil {
		return "", errors.Wrap(err, "encode the copy")
	}
	return target, errors.Wrap(os.WriteFile(target, text, 0o644), "write the copy")
}

// copyCompanions copies the file of wire examples and the recorded days, if the site has them.
func copyCompanions(path, folder string, site document) error {
	names := []string{strings.TrimSuffix(filepath.Base(path), ".toml") + ".days"}
	if wire, ok := site["wire"].(string); ok {
		names = append(names, wire)
	}
	for _, name := range names {
		content, err := os.ReadFile(filepath.Join(filepath.Dir(path), name))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return errors.Wrap(err, "read a file next to the site file")
		}
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			return errors.Wrap(err, "write a file next to the copy")
		}
	}
	return nil
}

// apply changes a decoded site file.
func (v Variant) apply(site document) error {
	if v.LengthS > 0 {
		site["length_s"] = v.LengthS
	}
	if v.CPUFactor > 0 {
		if err := scaleProcessors(site, v.CPUFactor); err != nil {
			return err
		}
	}
	if len(v.Contracts) > 0 {
		site["contracts"] = v.Contracts
	}
	if v.CoreCount > 0 {
		if err := setCoreCount(site, v.CoreCount); err != nil {
			return err
		}
	}
	for _, each := range v.fields() {
		if err := setField(site, each.table, each.name, each.value); err != nil {
			return err
		}
	}
	return nil
}

// siteField is a field of one of the site file's tables, with its new value.
type siteField struct {
	table string
	name  string
	value any
}

// fields returns the changes to fields in the site file's tables.
func (v Variant) fields() []siteField {
	var changed []siteField
	if v.Tolerate > 0 {
		changed = append(changed, siteField{"tolerate", "machines", int64(v.Tolerate)})
	}
	if v.CrossZoneMs > 0 {
		changed = append(changed, siteField{"net", "cross_zone_ms", v.CrossZoneMs})
	}
	if v.LagMs > 0 {
		changed = append(changed, siteField{"discovery", "lag_ms", v.LagMs})
	}
	if v.BeatMs > 0 {
		changed = append(changed, siteField{"discovery", "beat_ms", v.BeatMs})
	}
	for name, value := range v.Bounds {
		changed = append(changed, siteField{"bounds", name, value})
	}
	return changed
}

// setField replaces a field that exists. An unknown field is an error, since its name is probably misspelled.
func setField(site document, table, field string, value any) error {
	fields, ok := site[table].(document)
	if !ok {
		return errors.Errorf("the site file has no table %s", table)
	}
	if _, ok := fields[field]; !ok {
		return errors.Errorf("the site file has no field %s.%s", table, field)
	}
	fields[field] = value
	return nil
}

// scaleProcessors multiplies the processor share of every machine by a factor.
func scaleProcessors(site document, factor float64) error {
	machines := machineEntries(site)
	if len(machines) == 0 {
		return errors.New("the site file has no machines")
	}
	for _, machine := range machines {
		switch share := machine["cpu_share"].(type) {
		case float64:
			machine["cpu_share"] = share * factor
		case int64:
			machine["cpu_share"] = float64(share) * factor
		default:
			return errors.New("the site file has a machine without cpu_share")
		}
	}
	return nil
}

// setCoreCount distributes the core machines evenly over the entries that the site file has for them.
func setCoreCount(site document, count int) error {
	cores := coreEntries(site)
	if len(cores) == 0 {
		return errors.New("the site file has no core machines")
	}
	if count < len(cores) {
		return errors.Errorf("the site file has %d entries of core machines, so %d machines are too few", len(cores), count)
	}
	for i, machine := range cores {
		share := count / len(cores)
		if i < count%len(cores) {
			share++
		}
		machine["count"] = int64(share)
	}
	return nil
}

// coreEntries returns the entries of core machines, one per place.
func coreEntries(site document) []document {
	var cores []document
	for _, machine := range machineEntries(site) {
		if machine["class"] == coreClass {
			cores = append(cores, machine)
		}
	}
	return cores
}

// machineEntries returns the entries of machines, whether the file has them as inline tables or not.
func machineEntries(site document) []document {
	machines, _ := site["machines"].([]document)
	if inline, ok := site["machines"].([]any); ok {
		for _, item := range inline {
			if machine, ok := item.(document); ok {
				machines = append(machines, machine)
			}
		}
	}
	return machines
}
