package bfheader

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidResponseError reports a response that is none by the protocol, although its head can be parsed.
type InvalidResponseError struct {
	// Part is what is invalid: the status, or the name or the value of a field.
	Part string
	// Text is the invalid text.
	Text string
}

// Error includes the invalid part.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid response: %s %q", e.Part, e.Text)
}

// Bounds of a status.
const (
	minStatus = 100
	maxStatus = 999
)

// CheckResponse returns an *InvalidResponseError for a response whose head is invalid.
func CheckResponse(response *http.Response) error {
	if err := CheckStatus(response); err != nil {
		return err
	}
	return CheckFields(response.Header)
}

// CheckStatus returns an *InvalidResponseError for a response whose status is none. Switching protocols is none,
// as nodes don't ask for it.
func CheckStatus(response *http.Response) error {
	status := response.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &InvalidResponseError{Part: "status", Text: response.Status}
	}
	return nil
}

// CheckFields returns an *InvalidResponseError for fields of a response of which a name or a value is invalid.
// net/http accepts names with blanks: a line that another reader takes for the length would be passed on.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidResponseError{Part: "field name", Text: name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &InvalidResponseError{Part: "value of field " + name, Text: value}
			}
		}
	}
	return nil
}
