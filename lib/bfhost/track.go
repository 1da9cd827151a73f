package bfhost

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfshare"
)

// Track is how a target has fared lately, as its node saw it.
type Track struct {
	// Failing is the share of requests that it shed, failed or never answered.
	Failing float64
	// Running is how long it takes for a request of one class, 0 where none was seen.
	Running time.Duration
}

// failing is the share of recent requests that the target failed; its zero value is 0.
type failing struct{ bfshare.Share }

// judge counts the end of a job that was handed to the target.
func (f *failing) judge(end Result) {
	switch end := end.(type) {
	case Answered:
		f.Note(end.Answer.Status >= http.StatusInternalServerError)
	case Shed, Lost:
		f.Note(true)
	case Refused, Expired:
	}
}

// Track is how the target fares, with the running time of a class.
func (h *Host) Track(class string) Track {
	return Track{Failing: h.failing.Value(), Running: h.gate.Running(class)}
}

// WriteTrack tells another node how the target fares.
//
// Each entry of a large fleet sends a target a request in seconds, and would learn
// late and on its own what the target's node knows at once.
func WriteTrack(h http.Header, t Track) {
	h[bfheader.Track] = []string{strconv.FormatFloat(t.Failing, 'f', 2, 64) + "/" + strconv.FormatInt(t.Running.Microseconds(), 10)}
}

// ReadTrack reads what WriteTrack wrote.
func ReadTrack(h http.Header) (track Track, told bool) {
	before, after, found := strings.Cut(h.Get(bfheader.Track), "/")
	share, errShare := strconv.ParseFloat(before, 64)
	running, errRunning := strconv.ParseInt(after, 10, 64)
	if !found || errShare != nil || errRunning != nil {
		return Track{}, false
	}
	return Track{Failing: share, Running: time.Duration(running) * time.Microsecond}, true
}
