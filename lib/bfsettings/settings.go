package bfsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	reflector "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// FieldError reports an invalid field of a settings file.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings field %s: value %s: %s", e.Field, e.Value, e.Allowed)
}

// FileError reports a settings file that can't be read or is invalid.
type FileError struct {
	Path   string
	Reason error
}

// Error names the file and the reason.
func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.Path, e.Reason) }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Reason }

// Duration is a time.Duration written in settings as "150ms" or "10s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &durationError{string(text)}
	}
	*d = Duration(parsed)
	return nil
}

// durationError reports a text that time.ParseDuration rejects, such as one out of range.
type durationError struct{ text string }

// Error quotes the text.
func (e *durationError) Error() string { return fmt.Sprintf("invalid duration: %q", e.text) }

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

// JSONSchema returns the schema of a duration in a settings file.
func (Duration) JSONSchema() *reflector.Schema {
	return &reflector.Schema{Type: "string", Pattern: durationPattern}
}

// Load reads the file at path into settings, a pointer to a struct that holds the defaults. It
// fails with a FileError.
func Load(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Path: path, Reason: err}
	}
	if err := Decode(data, settings); err != nil {
		return &FileError{Path: path, Reason: err}
	}
	return nil
}

// Decode validates data against the schema of settings and decodes it into settings, a pointer
// to a struct. On an error settings is unchanged; the error has a FieldError for each invalid field.
func Decode(data []byte, settings any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	schema, err := compile(settings)
	if err != nil {
		return err
	}
	if err := schema.Validate(document); err != nil {
		return fieldErrors(err, document)
	}
	// The decoder rejects some values that pass the schema, after it has set the fields before
	// them. It decodes into a copy, so that an error leaves settings unchanged.
	filled, err := copyOf(settings)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(filled.Interface()); err != nil {
		return decodeError(err, document)
	}
	reflect.ValueOf(settings).Elem().Set(filled.Elem())
	return nil
}

func copyOf(settings any) (reflect.Value, error) {
	filled := reflect.New(reflect.TypeOf(settings).Elem())
	text, err := json.Marshal(settings)
	if err == nil {
		err = json.Unmarshal(text, filled.Interface())
	}
	if err != nil {
		return reflect.Value{}, fmt.Errorf("defaults of %T: %w", settings, err)
	}
	return filled, nil
}

// decodeError converts an error of the decoder to a FieldError.
func decodeError(err error, document any) error {
	var form *json.UnmarshalTypeError
	if errors.As(err, &form) {
		return &FieldError{Field: "/" + strings.ReplaceAll(form.Field, ".", "/"), Value: form.Value, Allowed: "a " + form.Type.String()}
	}
	var duration *durationError
	if errors.As(err, &duration) {
		field, _ := pathOf(document, duration.text)
		return &FieldError{Field: field, Value: strconv.Quote(duration.text), Allowed: "a duration below 292 years"}
	}
	return fmt.Errorf("settings can't be decoded: %w", err)
}

// pathOf returns the path of a string value in a document.
func pathOf(document any, text string) (string, bool) {
	switch node := document.(type) {
	case string:
		return "", node == text
	case map[string]any:
		for key, value := range node {
			if path, found := pathOf(value, text); found {
				return "/" + key + path, true
			}
		}
	case []any:
		for i, value := range node {
			if path, found := pathOf(value, text); found {
				return fmt.Sprintf("/%d%s", i, path), true
			}
		}
	}
	return "", false
}

func reflectSchema(settings any) *reflector.Schema {
	r := reflector.Reflector{ExpandedStruct: true, DoNotReference: true, Anonymous: true}
	return r.Reflect(settings)
}

func compile(settings any) (*jsonschema.Schema, error) {
	text, err := json.Marshal(reflectSchema(settings))
	if err != nil {
		return nil, fmt.Errorf("schema of %T: %w", settings, err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema of %T: %w", settings, err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("settings.json", document); err != nil {
		return nil, fmt.Errorf("schema of %T: %w", settings, err)
	}
	return compiler.Compile("settings.json")
}

// fieldErrors flattens the schema's tree of causes into a FieldError for each invalid field.
func fieldErrors(err error, document any) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	printer := message.NewPrinter(language.English)
	var all []error
	var walk func(cause *jsonschema.ValidationError)
	walk = func(cause *jsonschema.ValidationError) {
		for _, inner := range cause.Causes {
			walk(inner)
		}
		if len(cause.Causes) == 0 {
			all = append(all, &FieldError{
				Field:   "/" + strings.Join(cause.InstanceLocation, "/"),
				Value:   valueAt(document, cause.InstanceLocation),
				Allowed: cause.ErrorKind.LocalizedString(printer),
			})
		}
	}
	walk(invalid)
	sort.Slice(all, func(i, j int) bool { return all[i].Error() < all[j].Error() })
	return errors.Join(all...)
}

func valueAt(document any, path []string) string {
	for _, step := range path {
		switch node := document.(type) {
		case map[string]any:
			document = node[step]
		case []any:
			var index int
			if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index < 0 || index >= len(node) {
				return "?"
			}
			document = node[index]
		}
	}
	text, err := json.Marshal(document)
	if err != nil {
		return "?"
	}
	const maxLength = 80
	if len(text) > maxLength {
		return string(text[:maxLength]) + "…"
	}
	return string(text)
}
