package bfoperator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An operator whose token is wrong must read that it is the token, and one who
// sent none that it was not sent: "a token is needed" sent both looking for the
// wrong mistake. No command of either may run.
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
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, request)
		is.Equal(answer.Code, c.code)
		is.True(strings.Contains(answer.Body.String(), c.text))
	}
}
