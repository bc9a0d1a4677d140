package main

import (
	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Site contains the fields of a site file that days are generated from.
type Site struct {
	Name      string
	LengthS   float64 `toml:"length_s"`
	Contracts []string
	Zones     []struct{ Name string }
	Services  []struct{ Name string }
	Classes   []struct {
		Name  string
		Inner bool
	}
	Tolerate struct{ Machines int }
}

// ReadSite reads a site file and checks that it contains what generating days needs.
func ReadSite(path string) (Site, error) {
	var site Site
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return Site{}, errors.Wrap(err, "site file")
	}
	switch {
	case site.LengthS <= firstEntryS+closingMarginS:
		return Site{}, errors.Errorf("site file %s: length_s %v is too short", path, site.LengthS)
	case len(site.Zones) == 0:
		return Site{}, errors.Errorf("site file %s: no zones", path)
	case len(site.Services) == 0:
		return Site{}, errors.Errorf("site file %s: no services", path)
	case len(site.outerClasses()) == 0:
		return Site{}, errors.Errorf("site file %s: no classes of client requests", path)
	}
	return site, nil
}

func (s Site) zoneNames() []string {
	var names []string
	for _, zone := range s.Zones {
		names = append(names, zone.Name)
	}
	return names
}

// outerClasses returns the classes of requests that clients send. Inner classes are sent by upstreams only.
func (s Site) outerClasses() []string {
	var names []string
	for _, class := range s.Classes {
		if !class.Inner {
			names = append(names, class.Name)
		}
	}
	return names
}
