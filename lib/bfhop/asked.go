package bfhop

import "bilberryflow.org/lib/bfquarantine"

// Asked is what a request asks for, whichever node it comes to and goes to.
func Asked(method, target, tenant string, body []byte) bfquarantine.Request {
	return bfquarantine.Request{Method: method, Target: target, Caller: tenant, Body: body, Length: int64(len(body))}
}
