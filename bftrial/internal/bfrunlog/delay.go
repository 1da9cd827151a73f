package bfrunlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// delayInterval is the time between two measurements of the harness's own delay.
const delayInterval = 50 * time.Millisecond

// Delays holds the longest delay with which the harness itself ran. Processes of a soak share its
// machine: a violation beside a long delay may be due to a lack of processor time.
type Delays struct{ longest atomic.Int64 }

// Watch measures delays until ctx ends.
func (d *Delays) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(delayInterval)
		if delay := int64(time.Since(began) - delayInterval); delay > d.longest.Load() {
			d.longest.Store(delay)
		}
	}
	return nil
}

// Write writes the longest delay to out.
func (d *Delays) Write(out io.Writer) {
	fmt.Fprintf(out, "longest delay of the harness itself: %v\n", time.Duration(d.longest.Load()).Round(time.Millisecond))
}
