package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
)

// startPart starts a response and sends a part of it to the caller.
func startPart(c echo.Context) {
	c.Response().WriteHeader(http.StatusOK)
	_, _ = io.WriteString(c.Response(), "a part")
	c.Response().Flush()
}

// TestFailureAfterStartIsNotACompleteResponse guards against a started response that ends in order after its
// handler failed. No error can be written any more, and if the handler returned as usual, net/http would write
// the last chunk: the part that was sent would look like the whole response.
func TestFailureAfterStartIsNotACompleteResponse(t *testing.T) {
	for name, fail := range map[string]func() error{
		"panic": func() error { panic("a defect") },
		"error": func() error {
			return errkind.New(errkind.UpstreamFailed, errkind.Ran, "the upstream failed")
		},
		"abort": func() error { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{}
			e := echo.New()
			e.HTTPErrorHandler = writeError
			e.Use(g.requestMiddleware)
			e.GET("/*", func(c echo.Context) error {
				startPart(c)
				return fail()
			})
			s := httptest.NewServer(e)
			defer s.Close()
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(httptest.NewRequest(http.MethodGet, s.URL, nil))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if raw, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the response looks complete after %q", raw)
			}
		})
	}
}

// failingWriter is the writer of a response whose caller no longer takes what is sent.
type failingWriter struct {
	http.ResponseWriter
	writeErr, flushErr error
}

// Write implements http.ResponseWriter.
func (w *failingWriter) Write(p []byte) (int, error) { return len(p), w.writeErr }

// FlushError flushes for http.ResponseController.
func (w *failingWriter) FlushError() error { return w.flushErr }

// TestUnsentPartOfAnswerIsNotComplete guards against counting a call as whole whose last bytes the caller didn't
// take: net/http buffers what is written, and a failure may show only when the buffer is flushed.
func TestUnsentPartOfAnswerIsNotComplete(t *testing.T) {
	failure := errors.New("i/o timeout")
	for name, w := range map[string]*failingWriter{
		"write": {writeErr: failure},
		"flush": {flushErr: failure},
	} {
		t.Run(name, func(t *testing.T) {
			w.ResponseWriter = httptest.NewRecorder()
			c := &serviceCall{w: w, r: httptest.NewRequest(http.MethodGet, "/", nil)}
			err := c.relay(upstream.ServiceResponse{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("answer"))})
			if !errkind.Is(err, errkind.Canceled) {
				t.Errorf("%v, want %s", err, errkind.Canceled)
			}
		})
	}
}

// TestWholeAnswerTellsItsLength guards against a buffered answer whose end an HTTP/1.0 caller can't tell from a
// broken connection. Such a caller knows no chunks, and net/http adds the length only to short answers.
func TestWholeAnswerTellsItsLength(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	for _, tokens := range []int{5, 400} {
		c := dialCallers(t, g)
		body := completion("alert", "p", tokens, false)
		sendPart(t, c, fmt.Sprintf("POST %s HTTP/1.0\r\nHost: example.com\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			pathCompletion, testKey, len(body), body))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.ContentLength != int64(len(raw)) {
			t.Errorf("%d tokens: length %d, body of %d bytes, error %v", tokens, resp.ContentLength, len(raw), err)
		}
	}
}

// slowAnswer makes a service send its answer over some seconds.
var slowAnswer = service.Faults{ChunkDelayMS: 20}

// slowAnswerBytes is the size of a slow answer: 400 chunks, so 8 seconds or more.
const slowAnswerBytes = 400 * 4 << 10

// readPart reads the beginning of a response's body.
func readPart(t *testing.T, resp *http.Response) {
	t.Helper()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		t.Fatalf("no part of the answer: %v", err)
	}
}

// TestInterruptedAnswerIsVisiblyBroken guards against an answer of a plain service that looks whole although the
// deadline or the stop of the gateway ended it in the middle: the status was sent, so the transfer has to break.
func TestInterruptedAnswerIsVisiblyBroken(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, cause := range []string{"deadline", "stop"} {
			t.Run(fmt.Sprintf("%s, keyed %v", cause, keyed), func(t *testing.T) {
				f := newFleet(t, runner.Config{Name: "r1"})
				tiles := f.addService("tiles", keyed)
				tiles.setFaults(slowAnswer)
				f.putServiceRoute("tiles", "/tiles", http.MethodGet)
				s := f.settings("gw-1")
				s.Stop.DrainMS = 100
				g := f.start(s)
				a := testRequest{method: http.MethodGet, path: "/tiles/1", header: map[string]string{service.HeaderSize: strconv.Itoa(slowAnswerBytes)}}
				if keyed {
					a.header[headerIdempotencyKey] = "k"
				}
				if cause == "deadline" {
					a.header[headerDeadline] = "2000"
				}
				resp, err := a.do(g)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				readPart(t, resp)
				var stopped sync.WaitGroup
				defer stopped.Wait()
				if cause == "stop" {
					stopped.Go(g.stop)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err == nil {
					t.Errorf("the answer looks whole after %d more bytes", n)
				}
			})
		}
	}
}

// TestKeyedAnswerThatBrokeOff guards against a stored outcome of a keyed call that hides or joins what an earlier
// request for the key got: the first answer breaks off and has to look so, and a later request for the key gets the
// whole answer if the service keeps it, else an error.
func TestKeyedAnswerThatBrokeOff(t *testing.T) {
	const size = 3 * relayBufferBytes
	for _, deduplicates := range []bool{true, false} {
		t.Run(fmt.Sprintf("deduplicates %v", deduplicates), func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1"})
			vans := f.addService("vans", deduplicates)
			f.putServiceRoute("vans", "/vans", "")
			g := f.start(f.settings("gw-1"))
			vans.setFaults(cutAnswer)
			a := testRequest{path: "/vans", body: "x", header: map[string]string{
				headerIdempotencyKey: "k", "Standin-Mark": "m", service.HeaderSize: strconv.Itoa(size),
			}}
			resp, err := a.do(g)
			if err == nil {
				raw, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil || len(raw) >= size {
					t.Errorf("%d bytes, error %v; want a broken answer", len(raw), err)
				}
			}
			vans.setFaults(noFaults)
			p := g.get(a)
			if deduplicates && (p.status != http.StatusOK || len(p.raw) != size) {
				t.Errorf("again: status %d, %d bytes; want the whole answer", p.status, len(p.raw))
			}
			if !deduplicates {
				p.wantError(t, errkind.OutcomeUnknown, errkind.RunUnknown)
			}
			if n := vans.calls("m"); n != 1 {
				t.Errorf("executed %d times", n)
			}
		})
	}
}
