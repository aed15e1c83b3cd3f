package caller

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
)

// RetryAfter is the Retry-After of requests that are refused for lack of room. Callers that make no progress are closed in
// less time.
const RetryAfter = time.Second

// Errors of requests that are refused before their handler begins.
var (
	errHeadTooLarge = errkind.New(errkind.HeadTooLarge, errkind.NotRun, "the head exceeds the limit")
	errNoRoom       = errkind.New(errkind.Overloaded, errkind.NotRun, "there is no room for this request now").WithRetryAfter(RetryAfter)
	errClosing      = errkind.New(errkind.Overloaded, errkind.NotRun, "the connection is being closed").WithRetryAfter(RetryAfter)
)

// headAnswers are the answers to heads that are refused before net/http has read them, by the reason.
var headAnswers = map[budget.Reason][]byte{
	budget.HeadTooLarge: rawAnswer(errHeadTooLarge),
	budget.NoRoom:       rawAnswer(errNoRoom),
}

// rawAnswer returns the bytes of an answer, after which the connection is closed.
func rawAnswer(e *errkind.Error) []byte {
	var out bytes.Buffer
	status := errkind.Lookup(e.Kind).Status
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	h, body := refusal(e)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_ = h.Write(&out) // a buffer takes all bytes
	out.WriteString("\r\n" + body)
	return out.Bytes()
}

// writeRefusal answers a request that is refused before its handler begins, and has its connection closed.
func writeRefusal(w http.ResponseWriter, e *errkind.Error) {
	h, body := refusal(e)
	for name, values := range h {
		w.Header()[name] = values
	}
	w.WriteHeader(errkind.Lookup(e.Kind).Status)
	_, _ = w.Write([]byte(body)) // the connection is closed in any case
}

// refusal returns the headers and the body of the answer to a refused request.
func refusal(e *errkind.Error) (http.Header, string) {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "Connection": {"close"}}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return h, string(e.Kind) + ": " + e.Message + "\n"
}
