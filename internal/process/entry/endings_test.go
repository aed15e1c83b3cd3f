package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// plainDialect is a stepDialect whose requests need no prefill.
type plainDialect struct{ stepDialect }

func (d *plainDialect) RequestInfo(http.Header) (exchange.RequestInfo, error) {
	return exchange.RequestInfo{ID: "r1", TimeLeft: d.timeout}, nil
}

// startPassingOn starts the callers' port of an instance that sends requests to upstreams of one service. Each upstream
// is served by one handler. Requests may be sent to each once.
func startPassingOn(t *testing.T, upstreams ...http.HandlerFunc) (address string) {
	t.Helper()
	e, address := startCallersPort(t, time.Minute)
	e.cfg.Dialect = &plainDialect{stepDialect{reached: func(step) {}, timeout: time.Minute}}
	e.cfg.Settings.Bounds.RetrySlack = 1e7
	e.state.setBounds(e.cfg.Settings.Bounds)
	e.state.install(routing.New(1, []routing.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/p/", Kind: routing.Streaming, Resumable: true, MaxAttempts: len(upstreams),
		Objective: 10 * time.Second, Timeout: time.Minute, Targets: []routing.Target{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s"}}, routing.Limits{}))
	for i, handler := range upstreams {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		u := fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z1", Slots: 8, Software: "v1"}
		e.updateFleet(func(now time.Time, f *fleet.Core) { f.Put(now, u) })
	}
	recordVersions(e, "s", "v1")
	return address
}

// receivedAnswer is what a caller got.
type receivedAnswer struct {
	status int
	body   string
	err    error // nil: the answer looks complete
}

// sendPost sends a request to a callers' port on a new connection.
func sendPost(t *testing.T, address string) receivedAnswer {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "example.com"
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return receivedAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return receivedAnswer{status: resp.StatusCode, body: string(body), err: err}
}

// TestLargeServerErrorIsWholeOrLooksBroken guards against a server error that looks complete although its end is missing:
// only its first maxBufferedBytes were kept, and they were written with their own length.
func TestLargeServerErrorIsWholeOrLooksBroken(t *testing.T) {
	for name, broken := range map[string]bool{"whole": false, "broken off behind the part that is held back": true} {
		t.Run(name, func(t *testing.T) {
			whole := strings.Repeat("x", maxBufferedBytes) + strings.Repeat("y", 100<<10)
			address := startPassingOn(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
				w.WriteHeader(http.StatusInternalServerError)
				if broken {
					_, _ = io.WriteString(w, whole[:maxBufferedBytes+1])
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, whole)
			})
			a := sendPost(t, address)
			if a.err == nil && a.status == http.StatusInternalServerError && a.body != whole {
				t.Errorf("%d of %d bytes look complete", len(a.body), len(whole))
			}
		})
	}
}

// events returns the events of a stream with the ids from one to another, inclusive.
func events(from, to int) string {
	var out strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&out, "id: %d\ndata: event %d\n\n", id, id)
	}
	return out.String()
}

// TestStreamMayEndLongAfterItsLastEvent guards against a whole stream that looks broken: the time limit of the write of its
// last event had passed when the end of the stream was written.
func TestStreamMayEndLongAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	address := startPassingOn(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events(1, 3))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(callerWriteTimeout + 500*time.Millisecond)
	})
	if a := sendPost(t, address); a.err != nil || a.body != events(1, 3) {
		t.Errorf("%+v", a)
	}
}

// TestCommentIsNoEvent guards against streams that look complete and aren't, or break although they could go on, since a
// comment, which upstreams send to keep a connection open, counts as an event.
func TestCommentIsNoEvent(t *testing.T) {
	const comment = ": still here\n\n"
	for name, breaks := range map[string]string{"after events": events(1, 2), "after a comment": events(1, 2) + comment} {
		for next, rest := range map[string]string{"with the rest": events(3, 6), "with a comment only": comment} {
			t.Run(name+", goes on "+next, func(t *testing.T) {
				sends := make(chan int, 2)
				sends <- 1
				sends <- 2
				handler := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					if <-sends == 1 {
						_, _ = io.WriteString(w, breaks)
						_ = http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					}
					w.Header().Set("Transfer-Encoding", "identity") // neither length nor chunks
					_, _ = io.WriteString(w, rest)
				}
				a := sendPost(t, startPassingOn(t, handler, handler))
				without := strings.ReplaceAll(a.body, comment, "")
				if a.err == nil && without != events(1, 6) {
					t.Errorf("looks complete: %q", a.body)
				}
				if rest != comment && a.err != nil {
					t.Errorf("broke although it went on: %v, %q", a.err, a.body)
				}
			})
		}
	}
}

// TestRestartedStreamThatEndsEarlierIsNotTheRest guards against a stream that looks complete and is neither run's whole: it
// broke off, and the upstream that was to continue it began anew and ended in order before the last event that the caller has.
func TestRestartedStreamThatEndsEarlierIsNotTheRest(t *testing.T) {
	sends := make(chan int, 2)
	sends <- 1
	sends <- 2
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if <-sends == 1 {
			_, _ = io.WriteString(w, events(1, 4))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, events(1, 3))
	}
	if a := sendPost(t, startPassingOn(t, handler, handler)); a.err == nil {
		t.Errorf("looks complete: %+v", a)
	}
}
