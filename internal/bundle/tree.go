package bundle

import (
	"strings"

	"curlewreach/proto/wire"
)

type tree struct{ roots map[string]*branch }

type branch struct {
	fixed   map[string]*branch
	any     *branch
	owner   string
	service *wire.Service
	route   *wire.Route
}

func newTree() *tree { return &tree{roots: map[string]*branch{}} }

func hole(segment string) bool { return strings.HasPrefix(segment, "{") }

func (t *tree) add(method string, segments []string, owner string, service *wire.Service, route *wire.Route) {
	at := t.roots[method]
	if at == nil {
		at = &branch{}
		t.roots[method] = at
	}
	for _, segment := range segments {
		next := at.any
		if !hole(segment) {
			next = at.fixed[segment]
		}
		if next == nil {
			next = &branch{}
			if hole(segment) {
				at.any = next
			} else {
				if at.fixed == nil {
					at.fixed = map[string]*branch{}
				}
				at.fixed[segment] = next
			}
		}
		at = next
	}
	at.owner, at.service, at.route = owner, service, route
}

func (t *tree) clash(method string, segments []string) string {
	return clash(t.roots[method], segments)
}

func clash(at *branch, segments []string) string {
	if at == nil {
		return ""
	}
	if len(segments) == 0 {
		return at.owner
	}
	if hole(segments[0]) {
		for _, next := range at.fixed {
			if owner := clash(next, segments[1:]); owner != "" {
				return owner
			}
		}
	} else if owner := clash(at.fixed[segments[0]], segments[1:]); owner != "" {
		return owner
	}
	return clash(at.any, segments[1:])
}

func (t *tree) find(method string, segments []string) *branch {
	return find(t.roots[method], segments)
}

func find(at *branch, segments []string) *branch {
	if at == nil {
		return nil
	}
	if len(segments) == 0 {
		if at.route == nil {
			return nil
		}
		return at
	}
	if found := find(at.fixed[segments[0]], segments[1:]); found != nil {
		return found
	}
	return find(at.any, segments[1:])
}
