package bfcaller

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfrecord"
)

var update = flag.Bool("update", false, "write the golden files")

func TestProblems(t *testing.T) {
	is := is.New(t)
	id := bfrecord.ID{Entry: bfrecord.NodeIncarnation{Instance: "wien-nord-1", Incarnation: 77}, Counter: 12}
	var page strings.Builder
	for _, result := range []Result{
		NotRun{ID: id, Reason: bfrecord.ReasonOverload, RetryAfter: 1200 * time.Millisecond},
		NotRun{ID: id, Reason: bfrecord.ReasonTableUnavailable, RetryAfter: time.Second, EarlierMayHaveRun: true},
		NotRun{Reason: reasonStarting, RetryAfter: time.Second},
		Unknown{ID: id},
		Unknown{ID: id, Ran: true},
		InProgress{ID: id, RetryAfter: time.Second},
		Invalid{Status: http.StatusUnprocessableEntity, Title: "Key used with other content", Err: &MismatchError{ID: id}},
	} {
		w := httptest.NewRecorder()
		writeResult(w, http.MethodPost, result)
		fmt.Fprintf(&page, "%T %d\n", result, w.Code)
		names := []string{bfheader.Outcome, bfheader.RetryAfter, bfheader.RetryAfterExact, bfheader.Final, bfheader.RequestID, "Content-Type"}
		slices.Sort(names)
		for _, name := range names {
			if value := w.Header().Get(name); value != "" {
				fmt.Fprintf(&page, "%s: %s\n", name, value)
			}
		}
		fmt.Fprintf(&page, "%s\n\n", w.Body)
	}
	const golden = "testdata/problems.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(page.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(page.String(), string(want))
}

// Guards against callers refused at the same moment all retrying at the same
// moment, or before the requested delay.
func TestRetryAfterHasJitter(t *testing.T) {
	is := is.New(t)
	times := map[time.Duration]bool{}
	for range 1000 {
		d := addJitter(time.Second)
		is.True(d >= time.Second && d <= 3*time.Second/2)
		times[d.Truncate(10*time.Millisecond)] = true
		is.True(addJitter(0) > 0)
	}
	is.True(len(times) > 40)
}
