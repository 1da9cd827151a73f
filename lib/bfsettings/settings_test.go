package bfsettings

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Name  string   `json:"name" jsonschema:"minLength=1,description=Name of it."`
	Count int      `json:"count,omitempty" jsonschema:"minimum=1,maximum=9,description=How many."`
	Wait  Duration `json:"wait,omitempty" jsonschema:"description=How long."`
	Inner struct {
		Address string `json:"address,omitempty" jsonschema:"description=Where."`
	} `json:"inner,omitempty"`
}

func TestDecodeKeepsDefaultsOfOmittedFields(t *testing.T) {
	is := is.New(t)
	settings := sample{Count: 3, Wait: Duration(time.Second)}
	is.NoErr(Decode([]byte(`{"name":"a","wait":"20ms"}`), &settings))
	is.Equal(settings.Count, 3)
	is.Equal(settings.Wait.Std(), 20*time.Millisecond)
}

// Guards against errors that don't name all invalid fields of a file, and against settings that
// are applied in part.
func TestDecodeNamesEachInvalidField(t *testing.T) {
	is := is.New(t)
	settings := sample{Count: 3}
	err := Decode([]byte(`{"name":"","count":70,"wait":"soon","inner":{"where":"x"}}`), &settings)
	fields := map[string]string{}
	var joined interface{ Unwrap() []error }
	is.True(errors.As(err, &joined))
	for _, each := range joined.Unwrap() {
		var field *FieldError
		is.True(errors.As(each, &field))
		fields[field.Field] = field.Value
	}
	is.Equal(fields["/name"], `""`)
	is.Equal(fields["/count"], `70`)
	is.Equal(fields["/wait"], `"soon"`)
	is.Equal(fields["/inner"], `{"where":"x"}`)
	is.Equal(settings, sample{Count: 3})
}
