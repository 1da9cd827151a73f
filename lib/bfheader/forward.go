package bfheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are those of one connection; they do not go on.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Host": true,
}

const ownPrefix = "Bilberry-"

// Strip removes the headers that do not go on to the next hop: the connection's,
// and the mesh's own, which only nodes set.
//
// A caller that could set them would choose the identity, the home or the
// policy of its request; a target's would end the connections between nodes.
func Strip(h http.Header) {
	named := h["Connection"]
	for name := range h {
		if hopHeaders[name] || strings.HasPrefix(name, ownPrefix) || namedIn(named, name) {
			delete(h, name)
		}
	}
}

func namedIn(lists []string, name string) bool {
	for _, list := range lists {
		for item := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(item)) == name {
				return true
			}
		}
	}
	return false
}

// Once reads a header that may be given once at most.
//
// Of two values one reader takes the first and another the last: a request
// could be claimed under one key here and known by another at the target.
func Once(h http.Header, name string) (string, error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", &ValueError{Header: name, Value: strings.Join(values, ", "), Allowed: "one value"}
}

// Names are the headers of one interface between callers, nodes and targets.
type Names struct {
	// RequestID names one request of a caller; the target's answer repeats it.
	RequestID string
	// Deadline is the time left, in whole milliseconds.
	Deadline string
	// ExpectTarget has any target but the one of that incarnation refuse the request.
	ExpectTarget string
	// Target is the incarnation of the target that answers.
	Target string
	// NotRun marks a target's answer to a request that it did not run.
	NotRun string
	// CallerService is the service beside the node where the request began.
	CallerService string
}
