package bfheader

import (
	"fmt"
	"net/http"
)

// InvalidResponseError reports a response that is none by the protocol, although its head can be parsed.
type InvalidResponseError struct {
	// Part is what is invalid.
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

// CheckStatus returns an *InvalidResponseError for a response whose status is none. Switching protocols is none,
// as nodes don't ask for it.
func CheckStatus(response *http.Response) error {
	status := response.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &InvalidResponseError{Part: "status", Text: response.Status}
	}
	return nil
}
