package query

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func post(t *testing.T, method, body string) (*httptest.ResponseRecorder, ErrorBody) {
	t.Helper()
	w := httptest.NewRecorder()
	Handler(seeded()).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, CommandPath, strings.NewReader(body)))
	var e ErrorBody
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &e))
	return w, e
}

// Guards against a malformed request that is executed, or rejected without a clear
// error.
func TestHandlerRefusesMalformedRequests(t *testing.T) {
	before := commandErrors.String()
	for _, c := range []struct {
		method, body string
		status       int
		code         ErrorCode
		message      string
	}{
		{"GET", `{"command":"show nodes"}`, 405, CodeBadMethod, "use POST"},
		{"POST", ``, 400, CodeBadRequest, "EOF"},
		{"POST", `{"command":"show nodes"`, 400, CodeBadRequest, "unexpected EOF"},
		{"POST", `{"command":"show nodes"} {}`, 400, CodeBadRequest, "more than one JSON value"},
		{"POST", `{"command":"show nodes","comand":""}`, 400, CodeBadRequest, `unknown field "comand"`},
		{"POST", `{"command":7}`, 400, CodeBadRequest, "cannot unmarshal number"},
		{"POST", `{"command":"put service x version v"}`, 400, CodeBadRequest, `a change needs an "id"`},
		{"POST", `{"id":"a b","command":"put service x version v"}`, 400, CodeBadRequest, `a change needs an "id"`},
		{"POST", `{"command":"show nodes","wait_ms":-1}`, 400, CodeBadRequest, `"wait_ms" is not between`},
		{"POST", `{"command":"show node"}`, 400, CodeParseError, "1:6: unexpected"},
		{"POST", `{"command":"` + strings.Repeat(" ", maxRequestBytes) + `"}`, 413, CodeTooLarge, "larger than the limit"},
	} {
		w, e := post(t, c.method, c.body)
		require.Equal(t, c.status, w.Code, c.body)
		require.Equal(t, c.code, e.Error.Code)
		require.Equal(t, NotRun, e.Error.Outcome)
		require.Contains(t, e.Error.Message, c.message)
	}
	require.NotEqual(t, before, commandErrors.String())
}

// Guards against a valid command that is not executed or not reported as JSON.
func TestHandlerExecutesCommands(t *testing.T) {
	w, _ := post(t, http.MethodPost, `{"id":"op-1","command":"put service \u0078 version v1","wait_ms":1000}`)
	require.Equal(t, 200, w.Code)
	var reply Reply
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
	require.Equal(t, StatusDone, reply.Status)
	require.Equal(t, &Price{Bytes: 210, Appends: 1, Reads: 6}, reply.PriceAfter)
}
