package bfheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Host": true,
}

// internalPrefix is the prefix of the headers that only nodes may set.
const internalPrefix = "Bilberry-"

// Strip removes the headers that are not forwarded to the next hop: hop-by-hop headers and
// those with internalPrefix.
//
// A caller that could set the latter would choose the identity, home or policy of its
// request, and a target's Connection header would close connections between nodes.
func Strip(h http.Header) {
	named := h["Connection"]
	for name := range h {
		if hopHeaders[name] || strings.HasPrefix(name, internalPrefix) || listsContain(named, name) {
			delete(h, name)
		}
	}
}

// RemoveLike removes a header in all spellings that a target may take for it: other cases, and
// underscores for hyphens, since CGI and its successors map both to the same variable.
func RemoveLike(h http.Header, name string) {
	for other := range h {
		if strings.EqualFold(strings.ReplaceAll(other, "_", "-"), name) {
			delete(h, other)
		}
	}
}

// listsContain reports whether comma-separated lists contain a header name.
func listsContain(lists []string, name string) bool {
	for _, list := range lists {
		for item := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(item)) == name {
				return true
			}
		}
	}
	return false
}

// SingleValue returns the value of a header, "" if it is missing. It returns a ValueError
// if there is more than one value: different hops might use different ones.
func SingleValue(h http.Header, name string) (string, error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", &ValueError{Header: name, Value: strings.Join(values, ", "), Allowed: "one value"}
}

// Names are the header names of one protocol version between callers, nodes and targets.
type Names struct {
	// RequestID identifies a caller's request; the target's answer repeats it.
	RequestID string
	// Deadline is the time left, in whole milliseconds.
	Deadline string
	// ExpectTarget is the incarnation that the request is meant for; any other target refuses it.
	ExpectTarget string
	// Target is the incarnation of the answering target.
	Target string
	// NotRun marks a target's answer to a request that it did not run.
	NotRun string
	// CallerService is the service of the entry node's own target.
	CallerService string
	// Limit is how many requests a second the answering target takes from all nodes together; "" if
	// targets name no limit.
	Limit string
	// Leaving marks the answers of a target that leaves; "" if targets don't say so in answers.
	Leaving string
	// Workspace names the workspace of a request to its target; "" if targets are not told.
	Workspace string
}
