package bundle

import (
	"strings"

	"curlewreach/proto/wire"
)

// routeTree is a prefix tree of path templates by segment, with one root per method.
type routeTree struct{ roots map[string]*routeNode }

// routeNode is a prefix of path templates. If a template ends there, it has the
// identifier of its route.
type routeNode struct {
	literals    map[string]*routeNode // by the next segment
	placeholder *routeNode            // for a next segment that is a placeholder
	identifier  string
	service     *wire.Service
	route       *wire.Route
}

func newRouteTree() *routeTree { return &routeTree{roots: map[string]*routeNode{}} }

// isPlaceholder reports whether a segment of a template is a placeholder.
func isPlaceholder(segment string) bool { return strings.HasPrefix(segment, "{") }

func (t *routeTree) add(method string, segments []string, identifier string, service *wire.Service, route *wire.Route) {
	node := t.roots[method]
	if node == nil {
		node = &routeNode{}
		t.roots[method] = node
	}
	for _, segment := range segments {
		next := node.placeholder
		if !isPlaceholder(segment) {
			next = node.literals[segment]
		}
		if next == nil {
			next = &routeNode{}
			if isPlaceholder(segment) {
				node.placeholder = next
			} else {
				if node.literals == nil {
					node.literals = map[string]*routeNode{}
				}
				node.literals[segment] = next
			}
		}
		node = next
	}
	node.identifier, node.service, node.route = identifier, service, route
}

// overlap returns the identifier of a route whose template matches a path that the
// given template also matches, or "".
func (t *routeTree) overlap(method string, segments []string) string {
	return findOverlap(t.roots[method], segments)
}

func findOverlap(node *routeNode, segments []string) string {
	if node == nil {
		return ""
	}
	if len(segments) == 0 {
		return node.identifier
	}
	if isPlaceholder(segments[0]) {
		for _, next := range node.literals {
			if identifier := findOverlap(next, segments[1:]); identifier != "" {
				return identifier
			}
		}
	} else if identifier := findOverlap(node.literals[segments[0]], segments[1:]); identifier != "" {
		return identifier
	}
	return findOverlap(node.placeholder, segments[1:])
}

// find returns the node of the route that matches the segments of a path, or nil.
// Literal segments take precedence over placeholders.
func (t *routeTree) find(method string, segments []string) *routeNode {
	return findNode(t.roots[method], segments)
}

func findNode(node *routeNode, segments []string) *routeNode {
	if node == nil {
		return nil
	}
	if len(segments) == 0 {
		if node.route == nil {
			return nil
		}
		return node
	}
	if found := findNode(node.literals[segments[0]], segments[1:]); found != nil {
		return found
	}
	return findNode(node.placeholder, segments[1:])
}
