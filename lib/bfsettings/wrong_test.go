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

// allTypes has a field of each type that settings use.
type allTypes struct {
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

// namedFields returns the fields that an error names.
func namedFields(err error) []string {
	var fields []string
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, each := range joined.Unwrap() {
			fields = append(fields, namedFields(each)...)
		}
		return fields
	}
	var field *FieldError
	if errors.As(err, &field) {
		fields = append(fields, field.Field)
	}
	return fields
}

// Guards against errors that don't name the invalid field, and against settings that are
// applied in part, for each type of field and each kind of invalid value.
func TestErrorsNameEachInvalidField(t *testing.T) {
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
		before := allTypes{Name: "kept", Count: 3, Many: []inner{{Address: "kept"}}, Inner: inner{Address: "kept"}}
		settings := before
		settings.Many = slices.Clone(before.Many)
		err := Decode([]byte("{"+text+"}"), &settings)
		if !slices.Contains(namedFields(err), field) {
			t.Errorf("%s: error %v doesn't name %s", text, err, field)
		}
		is.Equal(settings, before)
	}
}

// Guards against files that aren't settings being accepted, or applied in part.
func TestOtherFilesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"", " ", "null", "[]", "5", `"name"`, "{", `{"name":"a"} {"name":"b"}`, `{"name":"a"}]`, "\xff\xfe",
		strings.Repeat(`{"name":`, 5_000), `{"name":"a",}`,
	} {
		settings := allTypes{Name: "kept"}
		if err := Decode([]byte(text), &settings); err == nil {
			t.Errorf("%.40q was accepted", text)
		}
		is.Equal(settings, allTypes{Name: "kept"})
	}
	var file *FileError
	is.True(errors.As(Load(filepath.Join(t.TempDir(), "none"), &allTypes{}), &file))
	is.True(errors.Is(file, os.ErrNotExist))
}

// Guards against JSON forms of integers that the schema accepts and Go's decoder rejects: they
// must be decoded or reported with their field.
func TestIntegersInAllJSONForms(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`3`, `3.0`, `3e0`, `0.3e1`} {
		settings := allTypes{Count: 7}
		err := Decode([]byte(`{"name":"a","count":`+text+`}`), &settings)
		if err != nil {
			is.True(slices.Contains(namedFields(err), "/count"))
			is.Equal(settings, allTypes{Count: 7})
			continue
		}
		is.Equal(settings.Count, 3)
	}
}

func TestDurationsRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{0, time.Nanosecond, 1500 * time.Millisecond, 90 * time.Minute} {
		text, err := Duration(d).MarshalText()
		is.NoErr(err)
		settings := allTypes{}
		is.NoErr(Decode([]byte(`{"name":"a","wait":"`+string(text)+`"}`), &settings))
		is.Equal(settings.Wait.Std(), d)
	}
}
