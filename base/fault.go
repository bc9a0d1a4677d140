package base

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an error that reaches a caller or an operator. The list
// is closed; callers decide by it and never by the text.
type Kind string

// The kinds of error. Answers holds the HTTP status of each.
const (
	// Malformed is input that can't be decoded.
	Malformed Kind = "malformed"
	// Unsigned is a configuration without a signature.
	Unsigned Kind = "unsigned"
	// Untrusted is a signature by a key that isn't trusted, or one that doesn't
	// match.
	Untrusted Kind = "untrusted"
	// StillAlive refuses to drop a machine as lost that may still serve.
	StillAlive Kind = "still-alive"
	// DanglingReference is a reference to something that doesn't exist.
	DanglingReference Kind = "dangling"
	// Duplicate is a name used twice.
	Duplicate Kind = "duplicate"
	// Overlapping is a pair of routes that one path could match.
	Overlapping Kind = "overlapping"
	// TooLarge is input over a limit of size.
	TooLarge Kind = "too-large"
	// OutOfRange is a value outside its limits.
	OutOfRange Kind = "out-of-range"
	// StaleBase is a change made against a configuration that is no longer the
	// newest.
	StaleBase Kind = "stale-base"
	// NoRoute is a request that no route matches.
	NoRoute Kind = "no-route"
	// StaleSerial is a request judged by another configuration than the one in force
	// at the receiver.
	StaleSerial Kind = "stale-serial"
	// NoInstance means that no instance of the service can take the request.
	NoInstance Kind = "no-seat"
	// Overloaded means that the admission queue is full.
	Overloaded Kind = "crowded"
	// Contended means that requests which mustn't overlap are kept apart, and the
	// turn of this one would come too late.
	Contended Kind = "kept-apart"
	// Stopping means that the process is shutting down.
	Stopping Kind = "stopping"
	// Fenced is a request addressed to an earlier process, or one that came
	// twice.
	Fenced Kind = "fenced"
	// Expired means that the deadline passed.
	Expired Kind = "expired"
	// Uncertain means that the outcome isn't known, or that no majority could
	// be reached.
	Uncertain Kind = "uncertain"
	// InvalidResponse is an answer that is incomplete or fails its check.
	InvalidResponse Kind = "garbled"
	// ResponseLost means that the connection broke after the request may have run.
	ResponseLost Kind = "lost"
	// Unreachable means that the other side could not be reached.
	Unreachable Kind = "unreachable"
	// Superseded means that a proposal with a higher epoch goes first.
	Superseded Kind = "outranked"
	// NoState means that the process has no state yet to answer from.
	NoState Kind = "amnesiac"
	// DiskFailure is a disk that fails or lags.
	DiskFailure Kind = "disk-trouble"
	// NotFound is a name that isn't known here.
	NotFound Kind = "missing"
	// Internal is a fault of ours: any error without a kind.
	Internal Kind = "internal"
)

// HTTPResponse is how an error kind is told over HTTP.
type HTTPResponse struct {
	Status int
	// Retriable lets the answer carry Retry-After, as a later try may succeed.
	Retriable bool
}

// HTTPResponses holds the HTTP answer of each kind.
var HTTPResponses = map[Kind]HTTPResponse{
	Malformed:         {http.StatusBadRequest, false},
	Unsigned:          {http.StatusForbidden, false},
	Untrusted:         {http.StatusForbidden, false},
	StillAlive:        {http.StatusConflict, false},
	DanglingReference: {http.StatusUnprocessableEntity, false},
	Duplicate:         {http.StatusUnprocessableEntity, false},
	Overlapping:       {http.StatusUnprocessableEntity, false},
	TooLarge:          {http.StatusRequestEntityTooLarge, false},
	OutOfRange:        {http.StatusUnprocessableEntity, false},
	StaleBase:         {http.StatusConflict, false},
	NoRoute:           {http.StatusNotFound, false},
	StaleSerial:       {http.StatusServiceUnavailable, true},
	NoInstance:        {http.StatusServiceUnavailable, true},
	Overloaded:        {http.StatusServiceUnavailable, true},
	Contended:         {http.StatusServiceUnavailable, true},
	Stopping:          {http.StatusServiceUnavailable, true},
	Fenced:            {http.StatusServiceUnavailable, true},
	Expired:           {http.StatusGatewayTimeout, true},
	Uncertain:         {http.StatusServiceUnavailable, true},
	InvalidResponse:   {http.StatusBadGateway, false},
	ResponseLost:      {http.StatusBadGateway, false},
	Unreachable:       {http.StatusServiceUnavailable, true},
	Superseded:        {http.StatusServiceUnavailable, true},
	NoState:           {http.StatusServiceUnavailable, true},
	DiskFailure:       {http.StatusServiceUnavailable, true},
	NotFound:          {http.StatusNotFound, false},
	Internal:          {http.StatusInternalServerError, false},
}

// Fault is an error with a kind. It is the one type of error that crosses the
// network.
type Fault struct {
	Kind Kind `json:"kind"`
	// Path is the field that the error is about, if any.
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
	// MayHaveRun is set if the request may have run at the upstream.
	MayHaveRun bool `json:"-"`
	// RetryAfter is how long the caller should wait before it tries again; 0 says
	// nothing.
	RetryAfter time.Duration `json:"-"`
}

// WithRetryAfter sets the wait before the caller's next try and returns m.
func (m *Fault) WithRetryAfter(after time.Duration) *Fault {
	m.RetryAfter = after
	return m
}

// Error returns kind, path and reason as one line.
func (m *Fault) Error() string {
	if m.Path == "" {
		return fmt.Sprintf("%s: %s", m.Kind, m.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", m.Kind, m.Path, m.Reason)
}

// NewFault returns an error of a kind about a field (or "" for none), with a
// formatted reason.
func NewFault(kind Kind, path, format string, args ...any) *Fault {
	return &Fault{Kind: kind, Path: path, Reason: fmt.Sprintf(format, args...)}
}

// FaultOf returns the Fault in the error's chain, or one of kind Internal
// with the error's text.
func FaultOf(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return &Fault{Kind: Internal, Reason: err.Error()}
}
