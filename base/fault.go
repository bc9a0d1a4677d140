package base

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies an error that reaches a caller or an operator. The set of
// kinds is closed. Callers decide by the kind and never by the error text.
type Kind string

// The kinds of error. HTTPResponses maps each to an HTTP status.
const (
	// Malformed means that the input can't be decoded.
	Malformed Kind = "malformed"
	// Unsigned means that a configuration has no signature.
	Unsigned Kind = "unsigned"
	// Untrusted means that a signature was made with an untrusted key or doesn't
	// match the signed data.
	Untrusted Kind = "untrusted"
	// StillAlive rejects the removal of a machine as lost while it may still
	// be serving.
	StillAlive Kind = "still-alive"
	// DanglingReference means that a referenced object doesn't exist.
	DanglingReference Kind = "dangling"
	// Duplicate means that a name is used more than once.
	Duplicate Kind = "duplicate"
	// Overlapping means that two routes could match the same path.
	Overlapping Kind = "overlapping"
	// TooLarge means that the input exceeds a size limit.
	TooLarge Kind = "too-large"
	// OutOfRange means that a value is outside its limits.
	OutOfRange Kind = "out-of-range"
	// StaleBase means that a change is based on a configuration that is no
	// longer the newest.
	StaleBase Kind = "stale-base"
	// NoRoute means that no route matches the request.
	NoRoute Kind = "no-route"
	// StaleSerial means that the request was evaluated against a configuration
	// other than the one in force at the receiver.
	StaleSerial Kind = "stale-serial"
	// NoInstance means that no instance of the service can take the request now.
	NoInstance Kind = "no-seat"
	// Overloaded means that the admission queue, or another limit on load, has no
	// room for the request.
	Overloaded Kind = "crowded"
	// Contended means that requests which must not overlap are serialized and that
	// this one can't have its turn in time.
	Contended Kind = "kept-apart"
	// Stopping means that the process is shutting down.
	Stopping Kind = "stopping"
	// Fenced means that the request was addressed to an earlier process, arrived
	// twice, or was fenced off before it ran.
	Fenced Kind = "fenced"
	// Expired means that the request's deadline has passed.
	Expired Kind = "expired"
	// Uncertain means that the outcome or the current state is unknown, or that no
	// majority could be reached.
	Uncertain Kind = "uncertain"
	// InvalidResponse means that a response is incomplete or failed its
	// integrity check.
	InvalidResponse Kind = "garbled"
	// ResponseLost means that no response arrived, usually because the connection
	// broke, and that the request may have run.
	ResponseLost Kind = "lost"
	// Unreachable means that the remote end could not be reached.
	Unreachable Kind = "unreachable"
	// Superseded means that a proposal with a higher epoch takes precedence.
	Superseded Kind = "outranked"
	// NoState means that the process has not recovered or received the state that
	// it needs to answer.
	NoState Kind = "amnesiac"
	// DiskFailure means that a disk operation failed or took too long.
	DiskFailure Kind = "disk-trouble"
	// NotFound means that the name is unknown to the receiver.
	NotFound Kind = "missing"
	// Internal is an error inside this program: any error without a kind of its
	// own.
	Internal Kind = "internal"
)

// HTTPResponse describes the HTTP response for a kind of error.
type HTTPResponse struct {
	Status int
	// Retriable allows a Retry-After header, because a later attempt may succeed.
	Retriable bool
}

// HTTPResponses maps each kind to its HTTP response.
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

// Fault is an error with a kind. It is the only error type that is sent over
// the network.
type Fault struct {
	Kind Kind `json:"kind"`
	// Path is the path of the field that the error is about, or empty.
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
	// MayHaveRun is true if the request may have run at the upstream.
	MayHaveRun bool `json:"-"`
	// RetryAfter is how long the caller should wait before the next attempt; 0
	// means that no delay is suggested.
	RetryAfter time.Duration `json:"-"`
}

// WithRetryAfter sets the delay before the caller's next attempt and returns f.
func (f *Fault) WithRetryAfter(wait time.Duration) *Fault {
	f.RetryAfter = wait
	return f
}

// Error returns the kind, the path if there is one, and the reason, separated by
// colons.
func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.Kind, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Kind, f.Path, f.Reason)
}

// NewFault returns a Fault of the given kind with a formatted reason. The path
// names the field that it is about and is empty for none.
func NewFault(kind Kind, path, format string, args ...any) *Fault {
	return &Fault{Kind: kind, Path: path, Reason: fmt.Sprintf(format, args...)}
}

// FaultOf returns the first Fault in the chain of err, or a Fault of kind
// Internal with the text of err.
func FaultOf(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return &Fault{Kind: Internal, Reason: err.Error()}
}
