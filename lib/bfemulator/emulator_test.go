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

// load reads one of the load files of bftrial.
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

// Guards against callers that are lost or counted twice, and against simulations that aren't reproducible.
func TestSimulationsAreReproducible(t *testing.T) {
	for _, name := range []string{"shedding", "crash", "scarce", "ends-targets", "crashes-of-their-own", "limits"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := load(t, name)
			first, second := Simulate(l), Simulate(l)
			is.Equal(first.Rows("", ""), second.Rows("", ""))
			for _, c := range l.Classes {
				o := first.Outcomes(c.Name)
				is.Equal(o.InTime+o.Late+o.Refused+o.Failed, o.Callers)
			}
		})
	}
}

// Guards against retry amplification: while a service sheds requests, the repeats of all nodes
// stay within the retry budget, and the budget goes to the nested calls, not to their parents.
func TestRepeatsStayWithinTheBudgetWhileShedding(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := load(t, "shedding")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.Rows("", ""))
		is.True(r.BudgetExcess("vault") <= 0 && r.BudgetExcess("portal") <= 0)
		is.True(r.Repeats("vault") > 4*r.Repeats("portal"))
		is.True(r.Outcomes("approval").InTimeShare() > 0.95) // approvals make no nested calls
	}
}

// Guards against crashes that affect more than the runs lost with them: approvals that were
// running fail, since they may run only once; look-ups are repeated elsewhere, within the
// retry budget.
func TestCrashesFailOnlyTheirRuns(t *testing.T) {
	is := is.New(t)
	failed := 0
	for seed := range uint64(3) {
		l := load(t, "crash")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.Rows("", ""))
		is.True(r.BudgetExcess("vault") <= 0 && r.BudgetExcess("portal") <= 0)
		is.True(r.Outcomes("look-up").InTimeShare() > 0.93)
		failed += r.Outcomes("approval").Failed
		is.Equal(r.Outcomes("look-up").Failed, 0)
	}
	is.True(failed > 0 && failed < 3*6*10) // at most one for each slot of the targets that crashed
}

// Records a known limit: under lasting overload, nested calls take precedence over direct
// requests for the slots of a scarce service.
func TestNestedCallsTakePrecedenceUnderLastingOverload(t *testing.T) {
	is := is.New(t)
	r := Simulate(load(t, "scarce"))
	t.Log(r.Rows("", ""))
	is.True(r.Outcomes("revoke").InTimeShare() < r.Outcomes("search").InTimeShare())
	is.True(r.BudgetExcess("consent") <= 0)
}

// Guards against errors in a load file that don't name the invalid field and the allowed values.
func TestErrorsNameInvalidFields(t *testing.T) {
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

// Guards against rows that don't match the columns of the header.
func TestRowsMatchTheHeader(t *testing.T) {
	is := is.New(t)
	l := load(t, "crash")
	l.Length = l.Length / 10
	for _, row := range Simulate(l).Rows("seed", "1") {
		is.Equal(len(row), len(CSVHeader))
		is.True(!slices.Contains(row[5:], ""))
	}
}
