package bfsettings

import (
	"encoding/json"
	"fmt"
	"strings"

	reflector "github.com/invopop/jsonschema"
)

// Example renders settings as an indented JSON file.
func Example(settings any) (string, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", fmt.Errorf("example of %T: %w", settings, err)
	}
	return string(text) + "\n", nil
}

// Reference renders a Markdown section for a program with a table of all fields of settings.
func Reference(program string, settings any) string {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n\n| field | form | meaning |\n|---|---|---|\n", program)
	writeFields(&page, "", reflectSchema(settings))
	return page.String()
}

func writeFields(page *strings.Builder, prefix string, schema *reflector.Schema) {
	for pair := schema.Properties.Oldest(); pair != nil; pair = pair.Next() {
		name, field := prefix+pair.Key, pair.Value
		if field.Properties != nil && field.Properties.Len() > 0 {
			writeFields(page, name+".", field)
			continue
		}
		if field.Items != nil && field.Items.Properties != nil {
			writeFields(page, name+"[].", field.Items)
			continue
		}
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", name, form(field), field.Description)
	}
}

// form describes the allowed values of a field.
func form(field *reflector.Schema) string {
	parts := []string{field.Type}
	switch field.Pattern {
	case "":
	case durationPattern:
		parts[0] = "duration"
	default:
		parts = append(parts, "of the form `"+field.Pattern+"`")
	}
	if field.Minimum != "" {
		parts = append(parts, "at least "+string(field.Minimum))
	}
	if field.Maximum != "" {
		parts = append(parts, "at most "+string(field.Maximum))
	}
	if len(field.Enum) > 0 {
		parts = append(parts, fmt.Sprintf("one of %v", field.Enum))
	}
	if field.MinLength != nil {
		parts = append(parts, "not empty")
	}
	return strings.Join(parts, ", ")
}
