package bfslot

const (
	// maxDenied is the number of successive requests that may be refused or time out before the
	// next one goes first, times the share of all requests that are served. With two ranks of equal
	// load, the lower is served at least a quarter as often as the higher.
	maxDenied = 2
	// acceptanceWindow is the number of requests over which that share is taken.
	acceptanceWindow = 32
	// maxLag is the number of requests of any other that may be served before a waiting one, and
	// what its turn costs then. A quarter is the least allowed; a third leaves room for requests
	// that time out in between.
	maxLag = 3
)

// turns detects that a workspace, or a class of one, gets less than its minimum share.
type turns struct {
	// denied counts its requests that were refused or gave up waiting since the last one served.
	denied int
	// served counts the requests served while it waits, on the scale of its competitors.
	served uint64
}

// areDue reports whether the next request goes first. acceptance is the share of all requests that
// are served.
func (t *turns) areDue(acceptance float64, most uint64) bool {
	return t.wereDenied(acceptance) || t.served+maxLag <= most
}

// wereDenied reports whether more requests in succession got no slot than allowed.
func (t *turns) wereDenied(acceptance float64) bool { return float64(t.denied)*acceptance >= maxDenied }

// begin is called when the first request begins to wait: earlier turns don't count.
func (t *turns) begin(most uint64) { t.served = most }

// serve counts a served request, and updates the highest count.
func (t *turns) serve(most *uint64) {
	if t.served+maxLag <= *most {
		t.served += maxLag
	} else {
		t.served++
	}
	t.denied = 0
	*most = max(*most, t.served)
}
