package bfservice

import (
	"bytes"
	"context"
	"errors"
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
	"pgregory.net/rapid"

	"bilberryflow.org/bfplatform/internal/bffault"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftable"
)

// TestMain fixes rapid's seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const unlimited = 1_000_000

// platform is the simulated platform on loopback with a client.
type platform struct {
	store   *bfstore.Memory
	faults  *bffault.Injector
	group   *bfgroup.Group
	service *Service
	server  *httptest.Server
	client  *bftable.Client
}

func start(t *testing.T, reads, writes int, timeout time.Duration) *platform {
	p := &platform{store: bfstore.NewMemory(), faults: bffault.New(1), group: bfgroup.New(context.Background())}
	p.service = New(p.store, p.faults, p.group, reads, writes, bfmetric.New())
	p.server = httptest.NewServer(p.service)
	p.client = bftable.New(p.server.URL, timeout, bfmetric.New())
	t.Cleanup(func() { p.client.Close(); p.server.Close(); p.group.Cancel(); is.New(t).NoErr(p.group.Wait()) })
	return p
}

func (p *platform) addFault(t *testing.T, spec bffault.Spec) {
	spec.For = "1h"
	is.New(t).NoErr(p.faults.Add(time.Now(), spec))
}

func put(key, value string) bfstore.Transaction {
	return bfstore.Transaction{Writes: []bfstore.Write{{Key: key, Value: []byte(value)}}}
}

// value returns the stored value, regardless of faults.
func (p *platform) value(key string) string {
	rows, _ := p.store.Get(context.Background(), key)
	return string(rows[0].Value)
}

func outcome(err error) string {
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	var unknown *bfstore.UnknownError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "none"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return err.Error()
}

// A write's result under each fault must be true: "none" only where nothing was
// written, "done" only where it was, otherwise "unknown". A wrong result would make an
// operator repeat a change that is in force.
func TestWriteOutcomeUnderEachFault(t *testing.T) {
	const timeout = 150 * time.Millisecond
	for _, test := range []struct {
		fault       bffault.Spec
		write, read string
		// applied is whether the write is stored at once, late whether it is after the delay.
		applied, late bool
	}{
		{bffault.Spec{Mode: bffault.Down}, "none", "none", false, false},
		{bffault.Spec{Mode: bffault.Silent}, "unknown", "none", false, false},
		{bffault.Spec{Mode: bffault.Slow, Delay: "20ms"}, "done", "done", true, true},
		{bffault.Spec{Mode: bffault.LoseAnswers}, "unknown", "done", true, true},
		{bffault.Spec{Mode: bffault.LateWrites, Delay: "300ms"}, "unknown", "done", false, true},
	} {
		t.Run(string(test.fault.Mode), func(t *testing.T) {
			is := is.New(t)
			p := start(t, unlimited, unlimited, timeout)
			p.addFault(t, test.fault)
			ctx := t.Context()
			is.Equal(outcome(p.client.Commit(ctx, put("k", "v"))), test.write)
			is.Equal(p.value("k") == "v", test.applied)
			_, err := p.client.Get(ctx, "k")
			is.Equal(outcome(err), test.read)
			_, err = p.client.Range(ctx, "a", "z", 5)
			is.Equal(outcome(err), test.read)
			is.Equal(outcome(p.client.PutObject(ctx, "o", []byte("v"))), test.write)
			_, err = p.client.ListObjects(ctx, "")
			is.Equal(outcome(err), test.read)
			for test.late && p.value("k") != "v" {
				time.Sleep(time.Millisecond)
			}
			p.faults.Clear()
			is.NoErr(p.client.Commit(ctx, put("k2", "v")))
		})
	}
}

// A commit whose condition fails is reported as a conflict, with the current row.
func TestConflictReturnsCurrentRow(t *testing.T) {
	is := is.New(t)
	p := start(t, unlimited, unlimited, time.Second)
	is.NoErr(p.client.Commit(t.Context(), put("k", "v")))
	tx := put("k", "w")
	tx.Conditions = []bfstore.Condition{{Key: "k"}}
	var conflict *bfstore.ConflictError
	is.True(errors.As(p.client.Commit(t.Context(), tx), &conflict))
	is.Equal(string(conflict.Row.Value), "v")
	is.Equal(p.value("k"), "v")
}

// Calls over the rate limit are refused without any effect and with a time to retry.
func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	is := is.New(t)
	const limit = 5
	p := start(t, limit, limit, time.Second)
	refused, done := 0, 0
	for i := range 4 * limit {
		key := fmt.Sprint("k", i)
		var unavailable *bfstore.UnavailableError
		switch err := p.client.Commit(t.Context(), put(key, "v")); {
		case err == nil:
			done++
			is.Equal(p.value(key), "v")
		case errors.As(err, &unavailable):
			refused++
			is.Equal(p.value(key), "")
			is.Equal(unavailable.RetryAfter, time.Second)
		default:
			t.Fatal(err)
		}
	}
	is.True(done >= limit && refused > 0)
	_, err := p.client.Get(t.Context(), "k0") // reads have their own limit
	is.NoErr(err)
}

// Malformed requests are refused without any effect. An object over the size limit is
// refused as a whole; stored in part, a node would start from a truncated snapshot.
func TestMalformedRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	p := start(t, unlimited, unlimited, time.Second)
	p.service.maxBody = 1 << 10
	is.NoErr(p.client.Commit(t.Context(), put("k", "v")))
	for _, test := range []struct{ method, path, body string }{
		{"GET", "/v1/rows/get", ""}, {"POST", "/v1/rows/nothing", "{}"}, {"POST", "/v1/", ""},
		{"POST", bftable.PathCommit, ""}, {"POST", bftable.PathCommit, "{"}, {"POST", bftable.PathCommit, "[]"},
		{"POST", bftable.PathCommit, `{"writes":[{"key":"k","value":"not base64!"}]}`},
		{"POST", bftable.PathCommit, `{"writes":[{"key":"k","delete":true}]}`},
		{"POST", bftable.PathCommit, `{"writes":[{"key":"k","remove":true}]} {"writes":[]}`},
		{"POST", bftable.PathCommit, `{"conditions":[{"key":"k","revision":-1}],"writes":[{"key":"k","remove":true}]}`},
		{"POST", bftable.PathRange, `{"from":"a","to":"z","limit":-1}`},
		{"POST", bftable.PathRange, `{"from":"a","to":"z","limit":1e99}`},
		{"PUT", bftable.PathObjects, "x"}, {"PATCH", bftable.PathObjects + "o", "x"},
		{"PUT", bftable.PathObjects + "o", strings.Repeat("x", 2<<10)},
	} {
		request, err := http.NewRequest(test.method, p.server.URL+test.path, strings.NewReader(test.body))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		response.Body.Close()
		t.Log(test)
		is.Equal(response.StatusCode, http.StatusBadRequest)
	}
	is.Equal(p.value("k"), "v")
	_, err := p.store.Object(t.Context(), "o")
	is.True(err != nil)
	is.Equal(outcome(p.client.PutObject(t.Context(), "o", bytes.Repeat([]byte("x"), 2<<10))), "none")
	// Names with characters that are special in a path.
	for _, name := range []string{"a/b", "../x", "a%2Fb", "ü?#&=", " "} {
		is.NoErr(p.client.PutObject(t.Context(), name, []byte(name)))
		data, err := p.client.Object(t.Context(), name)
		is.NoErr(err)
		is.Equal(string(data), name)
	}
	names, err := p.client.ListObjects(t.Context(), "a")
	is.NoErr(err)
	is.Equal(names, []string{"a%2Fb", "a/b"})
}

// listModel models the table as an unsorted list of rows.
type listModel struct {
	rows     []bfstore.Row
	revision uint64
}

func (l *listModel) row(key string) bfstore.Row {
	for _, row := range l.rows {
		if row.Key == key {
			return row
		}
	}
	return bfstore.Row{Key: key}
}

func (l *listModel) commit(tx bfstore.Transaction) bool {
	for _, c := range tx.Conditions {
		if l.row(c.Key).Revision != c.Revision {
			return false
		}
	}
	l.revision++
	for _, w := range tx.Writes {
		l.rows = slices.DeleteFunc(l.rows, func(row bfstore.Row) bool { return row.Key == w.Key })
		if !w.Remove {
			l.rows = append(l.rows, bfstore.Row{Key: w.Key, Value: w.Value, Revision: l.revision})
		}
	}
	return true
}

func (l *listModel) scan(from, to string, limit int) []bfstore.Row {
	var found []bfstore.Row
	for _, row := range l.rows {
		if from <= row.Key && row.Key < to {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b bfstore.Row) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))]
}

func sameRows(a, b []bfstore.Row) bool {
	return slices.EqualFunc(a, b, func(x, y bfstore.Row) bool {
		return x.Key == y.Key && x.Revision == y.Revision && bytes.Equal(x.Value, y.Value)
	})
}

// Compares the table, through client and service, with a list model: conditions on
// existing, missing and removed rows, several writes of a row in one transaction, and
// ranges. A write whose response is lost must still be applied as in the model.
func TestTableMatchesListModel(t *testing.T) {
	p := start(t, unlimited, unlimited, 5*time.Second)
	rapid.Check(t, func(t *rapid.T) {
		p.store = bfstore.NewMemory()
		p.service.store = p.store
		model := &listModel{}
		keys := rapid.SampledFrom([]string{"a", "b", "b/1", "b/2", "c", "ü"})
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				checkCommit(t, p, model, keys)
				continue
			}
			from, to, limit := keys.Draw(t, "from"), keys.Draw(t, "to"), rapid.IntRange(1, 4).Draw(t, "limit")
			rows, err := p.client.Range(context.Background(), from, to, limit)
			if err != nil || !sameRows(rows, model.scan(from, to, limit)) {
				t.Fatalf("range %q to %q: %v, %v; want %v", from, to, rows, err, model.scan(from, to, limit))
			}
		}
	})
}

func checkCommit(t *rapid.T, p *platform, model *listModel, keys *rapid.Generator[string]) {
	var tx bfstore.Transaction
	for range rapid.IntRange(0, 2).Draw(t, "conditions") {
		condition := bfstore.Condition{Key: keys.Draw(t, "key"), Revision: uint64(rapid.IntRange(0, 3).Draw(t, "revision"))}
		if rapid.Bool().Draw(t, "right") {
			condition.Revision = model.row(condition.Key).Revision
		}
		tx.Conditions = append(tx.Conditions, condition)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "writes") {
		tx.Writes = append(tx.Writes, bfstore.Write{
			Key: keys.Draw(t, "key"), Value: []byte{byte(i)}, Remove: rapid.IntRange(0, 3).Draw(t, "remove") == 0,
		})
	}
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	p.faults.Clear()
	if lost {
		_ = p.faults.Add(time.Now(), bffault.Spec{Mode: bffault.LoseAnswers, For: "1h"})
	}
	err := p.client.Commit(context.Background(), tx)
	p.faults.Clear()
	want := "conflict"
	if model.commit(tx) {
		want = "done"
	}
	if lost {
		want = "unknown"
	}
	if outcome(err) != want {
		t.Fatalf("%+v: %v, want %s", tx, err, want)
	}
	rows, err := p.client.Get(context.Background(), "a", "b", "b/1", "b/2", "c", "ü")
	for _, row := range rows {
		if err != nil || !sameRows([]bfstore.Row{row}, []bfstore.Row{model.row(row.Key)}) {
			t.Fatalf("row %+v, want %+v", row, model.row(row.Key))
		}
	}
}
