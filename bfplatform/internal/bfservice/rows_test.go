package bfservice

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/bfplatform/internal/bffault"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/platform/bfdialect"
)

// Each fault must have the client-visible meaning it has on the real platform: a
// refusal without effect, an effect without a response, an effect that comes late.
func TestRowsFaults(t *testing.T) {
	is := is.New(t)
	faults := bffault.New(1)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	rows := NewRows(faults, group, 1000, 1000, bfmetric.New())
	server := httptest.NewServer(rows)
	defer server.Close()
	store := bfdialect.NewStore(strings.TrimPrefix(server.URL, "http://"))
	present := func(key string) bool {
		entries, _, err := store.List(context.Background(), "members")
		is.NoErr(err)
		for _, e := range entries {
			if e.Key == key {
				return true
			}
		}
		return false
	}
	put := func(key, mode, delay string) error {
		is.NoErr(faults.Add(time.Now(), bffault.Spec{Mode: bffault.Mode(mode), For: "1m", Delay: delay}))
		defer faults.Clear()
		_, err := store.Write(context.Background(), "members", bfstore.RowWrite{Key: key, Value: []byte("v")})
		return err
	}
	var unavailable *bfstore.UnavailableError
	var unknown *bfstore.UnknownError
	is.True(errors.As(put("a", "down", ""), &unavailable))
	is.True(!present("a"))
	is.True(errors.As(put("b", "lose-answers", ""), &unknown))
	is.True(present("b"))
	is.True(errors.As(put("c", "late-writes", "100ms"), &unknown))
	is.True(!present("c"))
	time.Sleep(300 * time.Millisecond)
	is.True(present("c"))
}

func TestOperatorsConfiguration(t *testing.T) {
	is := is.New(t)
	rows := NewRows(bffault.New(1), bfgroup.New(context.Background()), 1000, 1000, bfmetric.New())
	operate := func(method, body string) int {
		w := httptest.NewRecorder()
		rows.Operate(w, httptest.NewRequest(method, "/configuration", strings.NewReader(body)))
		return w.Code
	}
	is.Equal(operate(http.MethodPut, `{"version":1}`), http.StatusNoContent)
	is.Equal(operate(http.MethodPut, `{"version":2}`), http.StatusNoContent)
	is.Equal(operate(http.MethodPut, `{"version":`), http.StatusBadRequest)
	entries, _, err := rows.rows.List(t.Context(), bfdialect.ConfigurationTable)
	is.NoErr(err)
	is.Equal(string(entries[0].Value), `{"version":2}`)
	is.Equal(operate(http.MethodDelete, ""), http.StatusNoContent)
}
