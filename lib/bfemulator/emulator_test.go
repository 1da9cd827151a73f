package bfemulator

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgolden"
)

// load reads one of the loads that are kept for bftrial.
func load(t *testing.T, name string) Load {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "bftrial", "loads", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := Read(data)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Every caller of every load that is kept has one end, and the same one each time.
func TestPlaysAreTheSameEachTime(t *testing.T) {
	for _, name := range []string{"shedding", "crash", "scarce", "ends-targets", "crashes-of-their-own"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := load(t, name)
			first, second := Play(l), Play(l)
			is.Equal(first.Rows("", ""), second.Rows("", ""))
			for _, c := range l.Classes {
				o := first.Outcomes(c.Name)
				is.Equal(o.InTime+o.Late+o.Refused+o.Failed, o.Callers)
			}
		})
	}
}

// A service sheds a third of what arrives, and look-ups that call it fail. Whatever the
// nodes repeat, no window of it may have more than the terms allow; and what they allow
// is used for the calls, not for their parents.
func TestSheddingStaysWithinTheTerms(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := load(t, "shedding")
		l.Seed = seed
		r := Play(l)
		t.Log(r.Rows("", ""))
		is.True(r.Excess("vault") <= 0 && r.Excess("portal") <= 0)
		is.True(r.Repeats("vault") > 4*r.Repeats("portal"))
		is.True(r.Outcomes("approval").Share() > 0.95) // they call nothing
	}
}

// Targets crash, and what they ran is lost. Approvals that ran there fail, for none may
// run twice; look-ups go on elsewhere. Both services are served on meanwhile, and the
// terms hold.
func TestCrashesCostWhatRanThere(t *testing.T) {
	is := is.New(t)
	failed := 0
	for seed := range uint64(3) {
		l := load(t, "crash")
		l.Seed = seed
		r := Play(l)
		t.Log(r.Rows("", ""))
		is.True(r.Excess("vault") <= 0 && r.Excess("portal") <= 0)
		is.True(r.Outcomes("look-up").Share() > 0.93)
		failed += r.Outcomes("approval").Failed
		is.Equal(r.Outcomes("look-up").Failed, 0)
	}
	is.True(failed > 0 && failed < 3*6*10) // at most one for each slot of the targets that crashed
}

// Searches fill the few slots of a scarce service by their nested calls, which go first.
// The requests that go there themselves get what is left: this load is kept to try
// bounds for parents on, and the test holds what it shows today.
func TestScarceServiceUnderLastingOverload(t *testing.T) {
	is := is.New(t)
	r := Play(load(t, "scarce"))
	t.Log(r.Rows("", ""))
	is.True(r.Outcomes("revoke").Share() < r.Outcomes("search").Share())
	is.True(r.Excess("consent") <= 0)
}

// A load is written by hand. Each field that is wrong is named, with what is allowed.
func TestWrongLoadsAreNamed(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("..", "..", "bftrial", "loads", "shedding.json"))
	is.NoErr(err)
	var report strings.Builder
	for _, change := range [][2]string{
		{`"domains": 5`, `"domains": 0`},
		{`"length": "40s"`, `"length": "forty"`},
		{`"kind": "shed"`, `"kind": "shedding"`},
		{`"service": "vault", "share": 1`, `"service": "valut", "share": 1`},
		{`"name": "browse", "service": "vault"`, `"name": "browse", "service": "shelf"`},
		{`"calls": [{"class": "probe"`, `"calls": [{"class": "look-up"`},
		{`"calls": [{"class": "probe"`, `"calls": [{"class": "prob"`},
		{`"retries": 1,`, `"retires": 1,`},
		{`"seed": 1,`, `"seed": 1`},
	} {
		_, err := Read([]byte(strings.Replace(string(data), change[0], change[1], 1)))
		is.True(err != nil) // change
		report.WriteString(change[1] + "\n    " + err.Error() + "\n")
	}
	bfgolden.Check(t, "testdata/wrong.golden", report.String())
}

// A table of plays has a value for each column.
func TestRowsFitTheirHead(t *testing.T) {
	is := is.New(t)
	l := load(t, "crash")
	l.Length = l.Length / 10
	for _, row := range Play(l).Rows("seed", "1") {
		is.Equal(len(row), len(Head))
		is.True(!slices.Contains(row[5:], ""))
	}
}
