package bfpacer

import (
	"context"
	"io"
)

// Writer returns a writer that writes to another one in pieces, at the pacer's rate.
func (a *Answer) Writer(ctx context.Context, to io.Writer) io.Writer { return pacedWriter{to, ctx, a} }

// pacedWriter writes in pieces at a pacer's rate.
type pacedWriter struct {
	to     io.Writer
	ctx    context.Context
	answer *Answer
}

// Write writes p piece by piece.
func (w pacedWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+Piece)]
		if err := w.answer.Wait(w.ctx, len(piece)); err != nil {
			return written, err
		}
		n, err := w.to.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
