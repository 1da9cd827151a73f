package bfoperator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A missing and an invalid token must give different messages, and neither request
// may run a command.
func TestTokens(t *testing.T) {
	is := is.New(t)
	h := New(nil, []Token{{Name: "anna", Secret: "anna-secret-0123456789"}})
	for _, c := range []struct {
		header, body string
		code         int
		text         string
	}{
		{"", "{}", http.StatusUnauthorized, "no token was sent"},
		{"Bearer ", "{}", http.StatusUnauthorized, "no token was sent"},
		{"Basic YTpi", "{}", http.StatusUnauthorized, "no token was sent"},
		{"Bearer anna-secret-012345678", "{}", http.StatusUnauthorized, "the token is not in this node's settings"},
		{"Bearer anna-secret-0123456789", "[]", http.StatusBadRequest, "not a command request"},
		{"Bearer anna-secret-0123456789", `{"command":"show routes"}`, http.StatusBadRequest, "unknown field"},
		{"Bearer anna-secret-0123456789", `{"commands":"show nothing"}`, http.StatusOK, `{"end":{"status":"refused"}}`},
	} {
		request := httptest.NewRequest(http.MethodPost, CommandPath, strings.NewReader(c.body))
		if c.header != "" {
			request.Header.Set("Authorization", c.header)
		}
		response := httptest.NewRecorder()
		h.ServeHTTP(response, request)
		is.Equal(response.Code, c.code)
		is.True(strings.Contains(response.Body.String(), c.text))
	}
}
