package forwarding

import "net/http"

// StateOf tells what the status of an upstream's own answer makes of an attempt. Answers that turn a request away
// unrun are told apart before.
func StateOf(status int) State {
	switch {
	case status >= http.StatusInternalServerError, ImpliesNotRun(status):
		return Failed
	}
	return Answered
}

// ImpliesNotRun tells the statuses by which clients know that a request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayRelay tells whether an upstream's answer may go back as it is. A failure keeps the upstream's status or loses its
// seal: a status that promises what the upstream did not promise can't go back for a request that may run once.
func MayRelay(a *Response, repeatable bool) bool { return repeatable || !ImpliesNotRun(a.Status) }
