package bfwalk

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Targets of a service take nothing for a while, and then everything again. What a
// refused request may do follows within a few dozen questions, each service on its own.
func TestWalksFollowTheOdds(t *testing.T) {
	const objective = 500 * time.Millisecond
	is := is.New(t)
	var odds Odds
	is.Equal(odds.Of("portal"), 1.0)
	is.Equal(Longest(objective, odds.Of("portal")), 200*time.Millisecond)
	for range 64 {
		odds.Note("portal", false)
	}
	is.True(odds.Of("portal") < 0.05)
	is.Equal(odds.Of("vault"), 1.0)
	is.True(Longest(objective, odds.Of("portal")) < 60*time.Millisecond)
	is.True(Waits(3, odds.Of("portal")))
	is.True(GoesFar(odds.Of("portal"), 0.09)) // a tenth, for news of room
	is.True(!GoesFar(odds.Of("portal"), 0.2))
	for range 64 {
		odds.Note("portal", true)
	}
	is.True(!Waits(3, odds.Of("portal")))
	is.True(Waits(0, odds.Of("portal"))) // nobody else to ask
	is.True(GoesFar(odds.Of("portal"), 0.9))
}

// Refused callers are told to come back while they can still be answered in their
// objective, spread over a fifth to a quarter of it; sooner where most requests are
// taken. Who came back once already is told to come after the burst, and within the
// third of its time for which callers wait at most.
func TestTimesToComeBack(t *testing.T) {
	const objective, left = 600 * time.Millisecond, 3 * time.Second
	is := is.New(t)
	fresh := Refused{Objective: objective, Left: left}
	is.Equal(fresh.ComeBack(0, 0), 90*time.Millisecond)
	is.Equal(fresh.ComeBack(0, 1), 240*time.Millisecond)
	is.True(fresh.ComeBack(1, 1) < 90*time.Millisecond)
	returned := Refused{Objective: objective, Used: 200 * time.Millisecond, Left: left}
	is.Equal(returned.ComeBack(0, 0), 600*time.Millisecond)
	is.True(returned.ComeBack(1, 1) <= left/3)
}

// A request that takes most of what it has left does not wait; with time to spare it
// waits for half of what it can miss, so that it is in time after most waits.
func TestPatienceIsPartOfTheSlack(t *testing.T) {
	is := is.New(t)
	is.Equal(Patience(500*time.Millisecond, 200*time.Millisecond), 150*time.Millisecond)
	is.Equal(Patience(100*time.Millisecond, 200*time.Millisecond), time.Duration(0))
}
