package bfguard

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfannounce"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bftimer"
)

func announcement(incarnation int64) bfannounce.Announcement {
	return bfannounce.Announcement{Incarnation: incarnation, Service: "docs", Address: "127.0.0.1:80", Slots: 3}
}

// Guards against an announcement with an invalid field being accepted, or rejected
// without naming the field.
func TestInvalidAnnouncementNamesField(t *testing.T) {
	is := is.New(t)
	var published []bfroster.TargetState
	g := New(Config{
		Home: bfrecord.NodeIncarnation{Instance: "a", Incarnation: 1}, Service: "docs", ColdStart: func() time.Duration { return 0 },
		Timer: bftimer.New(1), Logger: bflog.Discard(), Metrics: bfmetric.New(),
		PublishState: func(state bfroster.TargetState, _ int) { published = append(published, state) },
	})
	server := httptest.NewServer(http.HandlerFunc(g.ServeAnnouncements))
	defer server.Close()
	address := server.Listener.Addr().String()
	for field, change := range map[string]func(*bfannounce.Announcement){
		"service":     func(a *bfannounce.Announcement) { a.Service = "portal" },
		"address":     func(a *bfannounce.Announcement) { a.Address = "80" },
		"slots":       func(a *bfannounce.Announcement) { a.Slots = 0 },
		"incarnation": func(a *bfannounce.Announcement) { a.Incarnation = 0 },
	} {
		invalid := announcement(5)
		change(&invalid)
		_, err := bfannounce.Send(context.Background(), server.Client(), address, invalid)
		var refused *bfannounce.RefusedError
		is.True(errors.As(err, &refused))
		is.True(strings.Contains(refused.Reason, "field "+field))
	}
	_, err := bfannounce.Send(context.Background(), server.Client(), address, announcement(5))
	is.NoErr(err)
	for _, body := range []string{"", "{", `{"unknown":1}`, strings.Repeat(" ", 5000)} {
		response, err := server.Client().Post(server.URL, "application/json", bytes.NewBufferString(body))
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusBadRequest)
	}
	is.Equal(published, []bfroster.TargetState{bfroster.TargetReady})
	is.Equal(g.Status(time.Now()).Slots, 3)
}

// Guards against heartbeats out of order: a late one must not reactivate a leaving
// target or replace a newer process, but a process started after its clock was set
// back must be accepted in the end.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	target := announcedTarget{service: "docs", coldStart: func() time.Duration { return time.Second }}
	is.Equal(target.status(start).State, bfroster.TargetNone)
	leaving := announcement(5)
	leaving.Leaving = true
	steps := []struct {
		at           time.Duration
		announcement bfannounce.Announcement
		accepted     bool
		state        bfroster.TargetState
	}{
		{0, announcement(5), true, bfroster.TargetCold},
		{time.Second, announcement(5), true, bfroster.TargetReady},
		{time.Second, leaving, true, bfroster.TargetLeaving},
		{time.Second, announcement(5), true, bfroster.TargetLeaving},
		{2 * time.Second, announcement(6), true, bfroster.TargetCold},
		{2 * time.Second, announcement(5), false, bfroster.TargetCold},
		{4 * time.Second, announcement(5), false, bfroster.TargetReady},
		{6 * time.Second, announcement(5), true, bfroster.TargetCold},
	}
	for _, step := range steps {
		now := start.Add(step.at)
		err := target.announce(now, step.announcement)
		is.Equal(err == nil, step.accepted)
		is.Equal(target.status(now).State, step.state)
	}
	is.Equal(target.status(start.Add(9*time.Second)).State, bfroster.TargetReady)
	is.Equal(target.status(start.Add(9*time.Second+1)).State, bfroster.TargetSilent)
}
