package bfsettings

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// every has a field of each form that settings take.
type every struct {
	Name  string   `json:"name" jsonschema:"minLength=1,maxLength=8,pattern=^[a-z]+$,description=Name."`
	Kind  string   `json:"kind,omitempty" jsonschema:"enum=one,enum=two,description=Kind."`
	Count int      `json:"count,omitempty" jsonschema:"minimum=1,maximum=9,description=Count."`
	Seed  uint64   `json:"seed,omitempty" jsonschema:"description=Seed."`
	On    bool     `json:"on,omitempty" jsonschema:"description=Switch."`
	Wait  Duration `json:"wait,omitempty" jsonschema:"description=Wait."`
	Many  []inner  `json:"many,omitempty" jsonschema:"description=List."`
	Inner inner    `json:"inner,omitempty" jsonschema:"description=Nested."`
}

type inner struct {
	Address string `json:"address" jsonschema:"minLength=1,description=Address."`
	Port    int    `json:"port,omitempty" jsonschema:"minimum=1,maximum=65535,description=Port."`
}

// named lists the fields that an error names.
func named(err error) []string {
	var fields []string
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, each := range joined.Unwrap() {
			fields = append(fields, named(each)...)
		}
		return fields
	}
	var field *FieldError
	if errors.As(err, &field) {
		fields = append(fields, field.Field)
	}
	return fields
}

// An operator's file is wrong in one field, for each field and each way. The field
// must be named, and what was in force before must be left as it was: a program
// that runs by half of a file is worse than one that does not start.
func TestEveryWrongFieldIsNamed(t *testing.T) {
	is := is.New(t)
	for text, field := range map[string]string{
		`"name":5`: "/name", `"name":""`: "/name", `"name":"UPPER"`: "/name", `"name":"toolongname"`: "/name", `"name":null`: "/name",
		`"name":"a","kind":"three"`: "/kind", `"name":"a","kind":1`: "/kind",
		`"name":"a","count":0`: "/count", `"name":"a","count":10`: "/count", `"name":"a","count":1.5`: "/count",
		`"name":"a","count":"1"`: "/count", `"name":"a","count":1e400`: "/count", `"name":"a","count":true`: "/count",
		`"name":"a","seed":1.5`: "/seed", `"name":"a","seed":-1`: "/seed", `"name":"a","seed":1e30`: "/seed",
		`"name":"a","on":"yes"`: "/on", `"name":"a","on":1`: "/on",
		`"name":"a","wait":5`: "/wait", `"name":"a","wait":"5"`: "/wait", `"name":"a","wait":"-5s"`: "/wait", `"name":"a","wait":""`: "/wait",
		`"name":"a","wait":"99999999999999999999h"`: "/wait",
		`"name":"a","many":{}`:                      "/many", `"name":"a","many":[{"address":""}]`: "/many/0/address",
		`"name":"a","many":[{"address":"x"},{"address":"x","port":0}]`: "/many/1/port", `"name":"a","many":["x"]`: "/many/0",
		`"name":"a","inner":[]`: "/inner", `"name":"a","inner":{}`: "/inner", `"name":"a","inner":{"address":"x","port":70000}`: "/inner/port",
		`"name":"a","other":1`: "/", `"count":3`: "/", `"NAME":"a"`: "/", `"name":"a","inner":{"address":"x","Port":1}`: "/inner",
	} {
		before := every{Name: "kept", Count: 3, Many: []inner{{Address: "kept"}}, Inner: inner{Address: "kept"}}
		settings := before
		settings.Many = slices.Clone(before.Many)
		err := Decode([]byte("{"+text+"}"), &settings)
		if !slices.Contains(named(err), field) {
			t.Errorf("%s: %v; want %s named", text, err, field)
		}
		is.Equal(settings, before)
	}
}

// Files that are no settings at all are refused with a reason, and never half taken.
func TestForeignFilesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"", " ", "null", "[]", "5", `"name"`, "{", `{"name":"a"} {"name":"b"}`, `{"name":"a"}]`, "\xff\xfe",
		strings.Repeat(`{"name":`, 5_000), `{"name":"a",}`,
	} {
		settings := every{Name: "kept"}
		if err := Decode([]byte(text), &settings); err == nil {
			t.Errorf("%.40q was taken", text)
		}
		is.Equal(settings, every{Name: "kept"})
	}
	var file *FileError
	is.True(errors.As(Load(filepath.Join(t.TempDir(), "none"), &every{}), &file))
	is.True(errors.Is(file, os.ErrNotExist))
}

// What the schema takes for a whole number is one, also in the forms of JSON that Go's decoder refuses.
func TestWholeNumbersInEveryForm(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`3`, `3.0`, `3e0`, `0.3e1`} {
		settings := every{Count: 7}
		err := Decode([]byte(`{"name":"a","count":`+text+`}`), &settings)
		if err != nil {
			is.True(slices.Contains(named(err), "/count"))
			is.Equal(settings, every{Count: 7})
			continue
		}
		is.Equal(settings.Count, 3)
	}
}

func TestDurationFormsAgree(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{0, time.Nanosecond, 1500 * time.Millisecond, 90 * time.Minute} {
		text, err := Duration(d).MarshalText()
		is.NoErr(err)
		settings := every{}
		is.NoErr(Decode([]byte(`{"name":"a","wait":"`+string(text)+`"}`), &settings))
		is.Equal(settings.Wait.Std(), d)
	}
}
