package bfpipeline

import (
	"bytes"
	"io"

	"bilberryflow.org/lib/bfresource"
)

// limitedReader bounds the bytes read for one header, and charges what the header takes.
type limitedReader struct {
	from      io.Reader
	limited   bool
	remaining int
	// held is what the process holds for the request that is read, nil for none.
	held *bfresource.Request
	// exceeded is set once a header was longer than allowed, exhausted once a request got no memory.
	exceeded  bool
	exhausted error
}

// allow limits the following reads to n bytes in total, and has them charged to held like those that are
// buffered already. It returns the error of that.
func (r *limitedReader) allow(n int, held *bfresource.Request, buffered []byte) error {
	r.limited, r.remaining, r.held = true, n, held
	return r.charge(buffered)
}

// allowAll removes the limit; the bytes of bodies are charged where they are kept.
func (r *limitedReader) allowAll() { r.limited = false }

// release ends the reads of a request: what follows belongs to the next one.
func (r *limitedReader) release() { r.held = nil }

// charge charges bytes of a header.
func (r *limitedReader) charge(p []byte) error {
	r.exhausted = r.held.Charge(bfresource.HeadCost(len(p), bytes.Count(p, []byte{'\n'})))
	return r.exhausted
}

// Read reads up to the limit and returns io.EOF beyond it. It fails with a *bfresource.ExhaustedError once the
// request has got no memory.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.limited && r.remaining <= 0 {
		r.exceeded = true
		return 0, io.EOF
	}
	if r.limited {
		p = p[:min(len(p), r.remaining)]
	}
	if err := r.evicted(); err != nil {
		return 0, err
	}
	r.held.BeginRead()
	n, err := r.from.Read(p)
	r.held.EndRead(n)
	if r.limited {
		r.remaining -= n
		if exhausted := r.charge(p[:n]); exhausted != nil {
			return n, exhausted
		}
	}
	if evicted := r.evicted(); err != nil && evicted != nil {
		err = evicted
	}
	return n, err
}

// evicted returns the error of a request that others got the memory of.
func (r *limitedReader) evicted() error {
	if err := r.held.Evicted(); err != nil {
		r.exhausted = err
	}
	return r.exhausted
}
