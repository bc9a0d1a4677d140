package forwarding

import "net/http"

// StateOf returns the state of an attempt by the status of the upstream's response. Responses which say that
// the request has not run must have been handled before.
func StateOf(status int) State {
	switch {
	case status >= http.StatusInternalServerError, ImpliesNotRun(status):
		return Failed
	}
	return Answered
}

// ImpliesNotRun reports whether clients conclude from the status that a request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayRelay reports whether a response may be passed on unchanged. A status that implies that the request has
// not run may not, unless the request is repeatable: the upstream has not guaranteed it. Such a response is
// replaced by one without the upstream's seal.
func MayRelay(r *Response, repeatable bool) bool { return repeatable || !ImpliesNotRun(r.Status) }
