package bffleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfheader"
)

func member(n int, domain string) Member {
	return Member{Inbound: fmt.Sprintf("10.0.0.%d:1", n), Service: "portal", Domain: domain, Slots: 10}
}

func picks(f *Fleet, now time.Time, count int) map[string]int {
	return picksOf(f, Demand{Service: "portal"}, now, count)
}

func picksOf(f *Fleet, demand Demand, now time.Time, count int) map[string]int {
	got := map[string]int{}
	for range count {
		if t := f.Pick(demand, now, nil).Target(); t != nil {
			got[t.Member().Inbound]++
		}
	}
	return got
}

var start = time.Unix(1000, 0)

// untilBoth is how many picks choose each of two equal targets at least once: one
// is left out with a chance of 2^-60.
const untilBoth = 60

// The own domain's target is preferred while it has room, and when it is full for as
// long as the turn there comes soon and the other domain's target is nearly full: a hop
// costs more. With many waiting there the request would be late, and goes to the other
// domain; so it does when that has all its slots free.
func TestOwnDomainFirstWhileItHasRoom(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "sued")})
	picks(f, start, untilBoth) // so neither is chosen for want of news
	is.Equal(picks(f, start, 20)["10.0.0.1:1"], 20)
	own := f.view.Load().members["10.0.0.1:1"]
	look := Demand{Service: "portal", Running: 100 * time.Millisecond, Objective: 300 * time.Millisecond, Left: 300 * time.Millisecond}
	other := f.view.Load().members["10.0.0.2:1"]
	other.Told(8, 10, start)
	own.Told(10, 10, start) // the turn comes in 10 ms
	is.Equal(picksOf(f, look, start, 20)["10.0.0.1:1"], 20)
	own.Told(25, 10, start) // in 160 ms
	is.Equal(picksOf(f, look, start, 20)["10.0.0.2:1"], 20)
	other.Told(0, 10, start)
	own.Told(12, 10, start) // a hop costs less than the last slots of a domain
	is.Equal(picksOf(f, look, start, 20)["10.0.0.2:1"], 20)
}

// A target joins in another domain while the own one has room. It must get work
// soon all the same, or it earns nothing and nobody knows how it fares.
func TestTargetWithoutNewsIsChosen(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord")})
	picks(f, start, 5)
	f.Change([]Member{member(2, "sued")}, nil)
	got := picks(f, start.Add(10*time.Millisecond), untilBoth)
	is.Equal(got["10.0.0.2:1"], 1)
	got = picks(f, start.Add(1200*time.Millisecond), untilBoth)
	is.Equal(got["10.0.0.2:1"], 1) // still nothing was heard of it
	f.view.Load().members["10.0.0.2:1"].Told(0, 10, start.Add(2*time.Second))
	got = picks(f, start.Add(5*time.Second), 10)
	is.Equal(got["10.0.0.2:1"], 0)
}

// A node refuses since its target leaves. It is passed over, for longer each
// time, and is chosen again at once when it has taken a request.
func TestSetAsideGrowsAndEnds(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	target := f.view.Load().members["10.0.0.1:1"]
	other := f.view.Load().members["10.0.0.2:1"]
	// The other one is overfull, and chosen only while the target is set aside.
	pick := func(now time.Time) *Target {
		other.Told(30, 10, now)
		return f.Pick(Demand{Service: "portal"}, now, nil).Target()
	}
	now := start
	is.Equal(pick(now), target)
	for _, length := range []time.Duration{100, 200, 400, 800, 1500, 1500} {
		target.SetAside(now)
		target.SetAside(now) // a second refusal in the same absence does not lengthen it
		is.Equal(pick(now.Add(length*time.Millisecond-1)), other)
		now = now.Add(length * time.Millisecond)
		is.Equal(pick(now), target)
	}
	target.SetAside(now)
	target.Present()
	is.Equal(pick(now), target)
}

// The only target that an entry knows of a service refused a moment ago. It is asked
// again: to refuse the caller without asking anybody would be no answer to its
// request. A target whose node takes no connection is not.
func TestOnlyTargetIsAskedThoughSetAside(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.9:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord")})
	target := f.view.Load().members["10.0.0.1:1"]
	target.SetAside(start)
	is.Equal(f.Pick(Demand{Service: "portal"}, start, nil).Target(), target)
	is.True(f.Pick(Demand{Service: "portal"}, start, []*Target{target}).Target() == nil) // once
	target.LookFor()
	is.True(f.Pick(Demand{Service: "portal"}, start, nil).Target() == nil)
}

func TestFailingTargetIsChosenLess(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	for range 30 {
		f.view.Load().members["10.0.0.1:1"].Judge(true, start)
	}
	picks(f, start, 2)
	is.Equal(picks(f, start, 20)["10.0.0.2:1"], 20)
	for range 200 {
		f.view.Load().members["10.0.0.1:1"].Judge(false, start)
	}
	is.True(picks(f, start, 200)["10.0.0.1:1"] > 20) // it recovers
}

// A target failed everything and gets no more requests. When it works again
// nobody would hear of it, so its failures are forgotten with time.
func TestFailuresAreForgotten(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	for range 100 {
		f.view.Load().members["10.0.0.1:1"].Judge(true, start)
	}
	is.Equal(picks(f, start, 100)["10.0.0.1:1"], 0)
	is.True(picks(f, start.Add(15*time.Second), 100)["10.0.0.1:1"] > 20)
}

func TestToldLoadIsForgotten(t *testing.T) {
	is := is.New(t)
	target := &Target{member: member(1, "nord")}
	target.Begin()
	target.Told(9, 10, start)
	is.Equal(target.load(start), 1.0) // nine there, and one more
	is.True(target.load(start.Add(3*time.Second)) < 0.3)
}

// A member's row is written anew with other slots; what was known of the others stays.
func TestUnchangedMembersKeepWhatIsKnown(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	before := f.view.Load().members["10.0.0.1:1"]
	changed := member(2, "nord")
	changed.Slots, changed.Peer = 5, "10.0.0.2:2"
	f.Replace([]Member{member(1, "nord"), changed})
	is.True(f.view.Load().members["10.0.0.1:1"] == before)
	f.Change(nil, []string{"10.0.0.2:1"})
	is.Equal(f.Size(), 1)
	_, found := f.Member("10.0.0.2:1")
	is.True(!found)
	value, err := changed.Encode()
	is.NoErr(err)
	read, err := DecodeMember(changed.Inbound, value)
	is.NoErr(err)
	is.Equal(read, changed)
	_, err = DecodeMember(changed.Inbound, []byte("no"))
	is.True(err != nil)
	var wrong *MemberError
	_, err = DecodeMember("10.0.0.9:1", value)
	is.True(errors.As(err, &wrong))
	is.Equal(wrong.Field, "inbound")
}

// The members' table may hold any bytes, and what passes for a member is one that a
// request can be sent to.
func FuzzDecodeMember(f *testing.F) {
	value, err := member(1, "nord").Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add("10.0.0.1:1", value)
	f.Add("10.0.0.1:1", []byte("no"))
	f.Add("x", []byte{0xa1, 0x01, 0x61, 'x'})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m, err := DecodeMember(key, value)
		if err == nil && (m.Inbound != key || m.Service == "" || m.Domain == "" || m.Slots < 1 || !bfheader.IsAddress(m.Inbound) || !bfheader.IsAddress(m.Peer)) {
			t.Fatalf("%+v passes for a member", m)
		}
	})
}

// A node's link is slow, and a target of the service stands beside it. A download
// from another target would take the link twice.
func TestSlowLinkKeepsDownloadsAtHome(t *testing.T) {
	is := is.New(t)
	const megabit = 1e6 / 8
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord", LinkBytes: 5 * megabit})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	own := f.view.Load().members["10.0.0.1:1"]
	other := f.view.Load().members["10.0.0.2:1"]
	own.Told(8, 10, start)
	other.Told(0, 10, start)
	download := Demand{Service: "portal", Bytes: 90_000}
	is.Equal(f.Pick(download, start, nil).Target(), own)
	is.Equal(f.Pick(Demand{Service: "portal", Bytes: 500}, start, nil).Target(), other)
}

// The links of the own domain's nodes are taken up by long answers. A download is
// sent to another domain before it waits for its whole objective; a short answer,
// which passes the long ones, stays at home; and the wait shrinks as the links
// drain, whether or not anything is heard of it.
func TestDownloadsGoWhereTheLinkIsFree(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.9:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "sued")})
	near := f.view.Load().members["10.0.0.1:1"]
	far := f.view.Load().members["10.0.0.2:1"]
	near.Told(0, 10, start)
	far.Told(0, 10, start)
	near.ToldBacklog(900*time.Millisecond, start)
	download := Demand{Service: "portal", Bytes: 90_000, Objective: time.Second}
	is.Equal(f.Pick(download, start, nil).Target(), far)
	is.Equal(f.Pick(Demand{Service: "portal", Bytes: 500, Objective: time.Second}, start, nil).Target(), near)
	is.Equal(f.Pick(download, start.Add(700*time.Millisecond), nil).Target(), near)
	near.ToldBacklog(0, start)
	is.Equal(f.Pick(download, start, nil).Target(), near)
}

// A target fails half of its requests, and this node has sent it none. The word of
// the node beside it is enough to choose another; it counts for less as it ages, so
// that the target is tried again.
func TestToldFailuresCount(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.9:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	f.view.Load().members["10.0.0.1:1"].ToldTrack(0.5, 0, start)
	is.Equal(picks(f, start, 100)["10.0.0.1:1"], 0)
	is.True(picks(f, start.Add(15*time.Second), 100)["10.0.0.1:1"] > 20)
}

// One target takes twice the mean of its service, by its node's word. Requests with
// little time to spare go to the other one.
func TestSlowTargetGetsRequestsWithTimeToSpare(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.9:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord")})
	f.view.Load().members["10.0.0.1:1"].ToldTrack(0, 2, start)
	f.view.Load().members["10.0.0.2:1"].ToldTrack(0, 0.8, start)
	count := func(left time.Duration) int {
		slow := 0
		for range 100 {
			if f.Pick(Demand{Service: "portal", Running: 100 * time.Millisecond, Objective: left, Left: left}, start, nil).Target().Member().Inbound == "10.0.0.1:1" {
				slow++
			}
		}
		return slow
	}
	is.Equal(count(170*time.Millisecond), 0)
	is.True(count(10*time.Second) > 20)
}

// Of a target in another domain nothing was ever heard. The news costs its bytes all the
// same: a request with a long body stays at home, and the next one without gets it.
func TestNewsIsGotByShortRequests(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.1:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "sued")})
	f.view.Load().members["10.0.0.1:1"].Told(2, 10, start)
	long := Demand{Service: "portal", Bytes: 6000, Objective: time.Second, Left: time.Second}
	is.Equal(picksOf(f, long, start, untilBoth)["10.0.0.1:1"], untilBoth)
	is.Equal(picks(f, start, untilBoth)["10.0.0.2:1"], 1)
}

// A request was refused, and other domains refuse most of what they are asked. It goes on
// to the targets of its own domain that it has not asked, though one of another domain is
// believed to be the better choice, and nowhere once they are asked.
func TestNearChoiceStaysInTheDomain(t *testing.T) {
	is := is.New(t)
	f := New(Place{Inbound: "10.0.0.9:1", Domain: "nord"})
	f.Replace([]Member{member(1, "nord"), member(2, "nord"), member(3, "sued")})
	for _, inbound := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		f.view.Load().members[inbound].Told(25, 10, start)
	}
	look := Demand{Service: "portal", Running: 100 * time.Millisecond, Objective: 300 * time.Millisecond, Left: 300 * time.Millisecond}
	is.Equal(picksOf(f, look, start, 20)["10.0.0.3:1"], 20)
	look.Near = true
	first := f.Pick(look, start, nil).Target()
	second := f.Pick(look, start, []*Target{first}).Target()
	is.Equal(first.Member().Domain, "nord")
	is.Equal(second.Member().Domain, "nord")
	is.Equal(f.Pick(look, start, []*Target{first, second}).Target(), nil)
}
