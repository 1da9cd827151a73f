package bfquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// floodCrashes is the number of crashes in a flood, floodRequests that of the requests at each:
// together more than maxNoted.
const (
	floodCrashes  = 10
	floodRequests = 60
)

// flood records crashes under distinct requests, and returns the time after the last.
func flood(b *Book, name string, from time.Time) time.Time {
	for i := range floodCrashes {
		var ran []Key
		for j := range floodRequests {
			ran = append(ran, key(fmt.Sprint("/", name, "/", i, "/", j), "c"))
		}
		b.Crashed(CrashOf(fmt.Sprint(name, i)), ran, from)
		from = from.Add(time.Millisecond)
	}
	return from
}

// Guards against nodes with full books that send each other records which neither keeps.
func TestFullBooksBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{New("a"), New("b"), New("c")}
		now := start
		for i, b := range books {
			flood(b, fmt.Sprint(i), start)
		}
		// Each transfer takes another time, so that local estimates of a crash's time differ.
		transfer := func(from, to *Book) []Record {
			records := from.Records(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond)
			return to.Merge(records, now)
		}
		for range rapid.IntRange(0, 6).Draw(t, "transfers") {
			transfer(rapid.SampledFrom(books).Draw(t, "from"), rapid.SampledFrom(books).Draw(t, "to"))
		}
		for range 2 {
			for _, to := range books {
				for _, from := range books {
					transfer(from, to)
				}
			}
		}
		for _, to := range books {
			for _, from := range books {
				if n := len(transfer(from, to)); n > 0 {
					t.Fatalf("%d records are new to a node that has received them", n)
				}
			}
			if to.View().Digest() != books[0].View().Digest() {
				t.Fatal("nodes with the same records differ")
			}
		}
	})
}

// Guards against records that count as new at each node because transfers take long.
func TestDelayedRecordIsNotNew(t *testing.T) {
	is := is.New(t)
	a, b := New("a"), New("b")
	bad := key("/bad", "c")
	last := crashed(a, bad, 3, start)
	is.Equal(len(b.Merge(a.Records(last), last.Add(5*time.Second))), 1)
	for hop := range 10 {
		sent := last.Add(time.Duration(10*hop) * time.Second)
		is.Equal(len(a.Merge(b.Records(sent), sent.Add(5*time.Second))), 0)
		is.Equal(len(b.Merge(a.Records(sent), sent.Add(5*time.Second))), 0)
	}
	held, _ := a.View().Refuse(bad, last)
	is.Equal(held.Until(), last.Add(minHold)) // the hold did not become longer
}

// Guards against a released request staying held at other nodes because a flood evicted the
// record of its release.
func TestReleaseSurvivesAFlood(t *testing.T) {
	is := is.New(t)
	a, b := New("a"), New("b")
	bad := key("/bad", "c")
	now := crashed(a, bad, 3, start)
	b.Merge(a.Records(now), now)
	flood(a, "before", now.Add(time.Second))
	for len(a.TakeUpdates(now)) > 0 {
		continue
	}
	is.True(a.Release(bad.Content, now))
	now = flood(a, "after", now.Add(2*time.Second))
	b.Merge(a.TakeUpdates(now), now) // the release goes first
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Free")
}

// Guards against a request that crashed two targets being forgotten in a flood of others.
func TestSuspectedRequestSurvivesAFlood(t *testing.T) {
	is := is.New(t)
	b := New("n")
	bad := key("/bad", "c")
	now := crashed(b, bad, 2, start)
	now = flood(b, "flood", now)
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Isolated")
	now = crashed(b, bad, 1, now)
	is.Equal(name(b.View().Judge(bad, now)), "bfquarantine.Held")
}

// Guards against the records that wait for other nodes exceeding the records of the book, and
// against sets of records that exceed a message.
func TestUpdatesOfAFloodAreBounded(t *testing.T) {
	is := is.New(t)
	a, b := New("a"), New("b")
	now := start
	for i := range 10 {
		now = flood(a, fmt.Sprint(i), now)
		b.Merge(a.Records(now), now)
	}
	is.True(len(a.updated) <= a.View().Len())
	is.True(len(b.received) <= b.View().Len())
	for _, take := range []func(time.Time) []Record{a.TakeUpdates, b.TakeReceived} {
		taken := map[string]bool{}
		for records := take(now); len(records) > 0; records = take(now) {
			size := 0
			for _, r := range records {
				is.True(!taken[string(r.Content)]) // each record is sent once
				taken[string(r.Content)] = true
				size += r.size()
			}
			is.True(size <= maxUpdateBytes)
		}
		is.Equal(len(taken), maxNoted)
	}
}

// Guards against nodes that remove the same expired records at different times and compare all
// their records meanwhile.
func TestExpiredRecordsAreRemovedAtTheNextSweep(t *testing.T) {
	is := is.New(t)
	b := New("n")
	now := crashed(b, key("/bad", "c"), 1, start)
	before := b.View()
	b.Sweep(now.Add(retention - time.Second))
	is.True(b.View() == before) // nothing to remove, nothing published
	b.Sweep(now.Add(retention))
	is.Equal(b.View().Len(), 0)
	is.Equal(b.View().Digest(), uint64(0))
}
