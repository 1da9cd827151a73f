package bfhop

import "bilberryflow.org/lib/bfquarantine"

// QuarantineRequest returns a request's content as the quarantine identifies it, the same on every node.
func QuarantineRequest(method, target, tenant string, body []byte) bfquarantine.Request {
	return bfquarantine.Request{Method: method, Target: target, Caller: tenant, Body: body, Length: int64(len(body))}
}
