package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// wayOut is how an upstream ends its response to one send.
type wayOut string

// The ways out.
const (
	endWhole           wayOut = "whole"
	endServerError     wayOut = "server error"     // a complete response with status 500
	endRefused         wayOut = "refused"          // by the engine; of a plain service: the connection is refused
	resetBeforeHeaders wayOut = "no headers"       // the connection is reset before the headers
	resetAfterHeaders  wayOut = "headers only"     // the connection is reset after the headers
	resetInBody        wayOut = "cut"              // the connection is reset in the middle of the body
	endWithoutFinal    wayOut = "no final message" // of an engine: the response ends in order without the last message; of a plain service: the connection is closed in the middle of the body
)

// Further ways out of a plain service: responses with a malformed head. They aren't among waysOut, as nothing of them reaches
// the caller.
const (
	malformedStatus wayOut = "malformed status"     // outside of 200 to 599
	malformedName   wayOut = "malformed field name" // a blank before the colon
)

// waysOut lists all ways out.
var waysOut = []wayOut{endWhole, endServerError, endRefused, resetBeforeHeaders, resetAfterHeaders, resetInBody, endWithoutFinal}

// arrivalWait is how long an upstream waits before it resets a connection, so that what it sent before has been
// read by then. No result depends on it.
const arrivalWait = 20 * time.Millisecond

// reset resets a connection.
func reset(c net.Conn) {
	time.Sleep(arrivalWait)
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// scriptedService is an upstream of a plain service that ends each response in one way. Its body differs from
// that of other upstreams.
type scriptedService struct {
	name     string
	way      wayOut
	framing  upstream.Framing
	received chan<- string   // gets the name at each request
	relayed  <-chan struct{} // closed when the caller has a part of the body
}

// serviceBodyBytes is a size of which the half is one buffer of the relay.
const serviceBodyBytes = 2 * relayBufferBytes

// body returns the whole body.
func (s *scriptedService) body() string {
	return strings.Repeat(s.name[len(s.name)-1:], serviceBodyBytes)
}

// serve answers the requests of a listener until it is closed. Some connections bring no request: the gateway
// keeps them open to see whether the upstream exits.
func (s *scriptedService) serve(l net.Listener) {
	var answers sync.WaitGroup
	defer answers.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		answers.Go(func() { s.answer(c) })
	}
}

// answer reads one request and answers it.
func (s *scriptedService) answer(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.received <- s.name
	status, body := "200 OK", s.body()
	switch s.way {
	case resetBeforeHeaders:
		reset(c)
		return
	case endServerError:
		status = "500 Internal Server Error"
	case malformedStatus:
		status = "000 Trouble"
	case malformedName:
		status = "200 OK\r\nX-Odd : 1"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nConnection: close\r\n%s\r\n", status, s.framingHeader(len(body)))
	switch s.way {
	case resetAfterHeaders:
		reset(c)
	case resetInBody:
		s.write(c, body[:len(body)/2])
		<-s.relayed
		reset(c)
	case endWithoutFinal:
		s.write(c, body[:len(body)/2])
	default:
		s.write(c, body)
		if s.framing == upstream.FramedByChunks {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
}

// framingHeader returns the header line that announces a body of n bytes.
func (s *scriptedService) framingHeader(n int) string {
	switch s.framing {
	case upstream.FramedByLength:
		return "Content-Length: " + strconv.Itoa(n) + "\r\n"
	case upstream.FramedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	}
	return ""
}

// write writes a part of the body, in chunks of the size of the relay's buffer if the body has chunks.
func (s *scriptedService) write(w io.Writer, part string) {
	for ; len(part) > 0 && s.framing == upstream.FramedByChunks; part = part[relayBufferBytes:] {
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", relayBufferBytes, part[:relayBufferBytes])
	}
	_, _ = io.WriteString(w, part)
}

// addScriptedService starts the upstreams of a plain service and adds it, and an idempotent route to it, to the
// configuration.
func (f *fleet) addScriptedService(name string, upstreams ...*scriptedService) {
	f.t.Helper()
	spec := resource.Service{}
	for _, u := range upstreams {
		address := testport.Address(f.t)
		if u.way != endRefused {
			l, err := net.Listen("tcp", address)
			if err != nil {
				f.t.Fatal(err)
			}
			var served sync.WaitGroup
			served.Go(func() { u.serve(l) })
			f.t.Cleanup(func() { l.Close(); served.Wait() })
		}
		spec.Upstreams = append(spec.Upstreams, resource.ServiceUpstream{
			Name: u.name, Address: "http://" + address, Zone: testZone, State: resource.RunnerServing,
		})
	}
	f.put(resource.KindService, name, spec)
	f.putServiceRoute(name, "/"+name, http.MethodGet)
}

// serviceOutcome is what a caller got: whether the response looked complete, its status and its body.
type serviceOutcome struct {
	looksComplete bool
	status        int
	body          string
}

// callService calls a plain service over HTTP/1.1 or HTTP/1.0 and closes relayed when a part of the body has
// arrived.
func (r *testGateway) callService(path, version string, relayed chan<- struct{}) serviceOutcome {
	r.f.t.Helper()
	c, err := net.Dial("tcp", r.Addresses().Callers.String())
	if err != nil {
		r.f.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprintf(c, "GET %s %s\r\nHost: example.com\r\nConnection: close\r\nAuthorization: Bearer %s\r\n\r\n", path, version, testKey); err != nil {
		r.f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		close(relayed)
		return serviceOutcome{}
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	close(relayed)
	if err != nil {
		return serviceOutcome{looksComplete: err == io.EOF, status: resp.StatusCode}
	}
	rest, err := io.ReadAll(resp.Body)
	return serviceOutcome{looksComplete: err == nil, status: resp.StatusCode, body: string(first) + string(rest)}
}

// checkServiceOutcome checks what a caller got against how the sends ended, in their order. A body that ends with
// its connection is whole when the connection is closed, and broken only when it is reset.
func checkServiceOutcome(t *testing.T, got serviceOutcome, sends []*scriptedService) {
	t.Helper()
	for i, s := range sends {
		last := i == len(sends)-1
		switch {
		case s.way == resetBeforeHeaders:
			continue
		case s.way == resetAfterHeaders && !last:
			continue // the reset overtook the headers
		case !last:
			t.Errorf("sent again after %q", s.way)
		case s.way == endWhole, s.way == endServerError:
			want := http.StatusOK
			if s.way == endServerError {
				want = http.StatusInternalServerError
			}
			if !got.looksComplete || got.status != want || got.body != s.body() {
				t.Errorf("complete %v, status %d, %d bytes; want the whole answer with status %d", got.looksComplete, got.status, len(got.body), want)
			}
			return
		case s.way == endWithoutFinal && s.framing == upstream.FramedByConnection:
			if !got.looksComplete || got.body != s.body()[:serviceBodyBytes/2] {
				t.Errorf("complete %v, %d bytes; want what came until the connection was closed", got.looksComplete, len(got.body))
			}
			return
		default:
			if got.looksComplete && got.status < http.StatusInternalServerError {
				t.Errorf("status %d and %d bytes look complete after %q", got.status, len(got.body), s.way)
			}
			return
		}
	}
	if !got.looksComplete || got.status < http.StatusInternalServerError || !strings.Contains(got.body, `"error"`) {
		t.Errorf("complete %v, status %d, %.80q; want an error", got.looksComplete, got.status, got.body)
	}
}

// runServiceWaysOut plays two upstreams that end their responses in all ways, in all framings, for a caller with
// an HTTP version.
func runServiceWaysOut(t *testing.T, version string) {
	f := newFleet(t, runner.Config{Name: "r1"})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	n := 0
	for _, framing := range []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByConnection} {
		for _, first := range waysOut {
			for _, second := range waysOut {
				n++
				name := "s" + strconv.Itoa(n)
				received, relayed := make(chan string, 4), make(chan struct{})
				upstreams := map[string]*scriptedService{}
				for i, way := range []wayOut{first, second} {
					u := &scriptedService{name: name + "-" + strconv.Itoa(i), way: way, framing: framing, received: received, relayed: relayed}
					upstreams[u.name] = u
				}
				f.addScriptedService(name, upstreams[name+"-0"], upstreams[name+"-1"])
				g.eventually("the route is in force", func() bool { _, ok := g.snapshot().Routes[name]; return ok })
				t.Run(fmt.Sprintf("%s/%s, %s", framing, first, second), func(t *testing.T) {
					got := g.callService("/"+name, version, relayed)
					var sends []*scriptedService
					for len(received) > 0 {
						sends = append(sends, upstreams[<-received])
					}
					checkServiceOutcome(t, got, sends)
				})
			}
		}
	}
}

// TestServiceWaysOut guards against an answer of a plain service that looks whole and isn't, or that joins what
// two sends brought, whatever the ways in which two sends end and the framing of the answers. Each half of a body
// fills the relay's buffer exactly.
func TestServiceWaysOut(t *testing.T) { runServiceWaysOut(t, "HTTP/1.1") }

// TestServiceWaysOutForHTTP10 guards against an answer that broke off and looks whole to an HTTP/1.0 caller. Such a
// caller gets no chunks: without a length the end of the connection is the end of the answer, so that a broken one
// has to end with a reset.
func TestServiceWaysOutForHTTP10(t *testing.T) { runServiceWaysOut(t, "HTTP/1.0") }

// TestMalformedResponseOfServiceIsNoAnswer guards against a response with a malformed head that is passed on, or whose
// caller gets no answer: an idempotent call is served by another upstream, and without one its caller gets an error.
func TestMalformedResponseOfServiceIsNoAnswer(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	for _, way := range []wayOut{malformedStatus, malformedName} {
		for _, beside := range []wayOut{endWhole, way} {
			name := strings.ReplaceAll(fmt.Sprintf("%s-%s", way, beside), " ", "-")
			received, relayed := make(chan string, 4), make(chan struct{})
			faulty := &scriptedService{name: name + "-0", way: way, framing: upstream.FramedByLength, received: received, relayed: relayed}
			other := &scriptedService{name: name + "-1", way: beside, framing: upstream.FramedByLength, received: received, relayed: relayed}
			f.addScriptedService(name, faulty, other)
			g.eventually("the route is in force", func() bool { _, ok := g.snapshot().Routes[name]; return ok })
			t.Run(name, func(t *testing.T) {
				for asked := false; !asked; {
					got := g.callService("/"+name, "HTTP/1.1", make(chan struct{}))
					for len(received) > 0 {
						asked = <-received == faulty.name || asked
					}
					switch {
					case !got.looksComplete:
						t.Errorf("the caller got no answer: %+v", got)
					case beside == endWhole && (got.status != http.StatusOK || got.body != other.body()):
						t.Errorf("status %d, %.80q; want the answer of the sound upstream", got.status, got.body)
					case beside == way && (got.status < http.StatusInternalServerError || !strings.Contains(got.body, `"error"`)):
						t.Errorf("status %d, %.80q; want an error", got.status, got.body)
					}
				}
			})
		}
	}
}

// engineScript ends the responses of engines to the sends and resumes of each prompt, in their order.
type engineScript struct {
	mu      sync.Mutex
	scripts map[string][]wayOut // by prompt; the ways that are left
	prompts map[string]string   // by run id
}

// eventsBeforeBreak is the number of events that an engine sends before it breaks off.
const eventsBeforeBreak = 3

// next returns how the next response for a run ends. prompt is empty for a resume.
func (s *engineScript) next(runID, prompt string) (wayOut, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prompt != "" {
		s.prompts[runID] = prompt
	}
	prompt = s.prompts[runID]
	left := s.scripts[prompt]
	if len(left) == 0 {
		return endWhole, !strings.HasPrefix(prompt, scriptEnds)
	}
	s.scripts[prompt] = left[1:]
	return left[0], true
}

// set sets how the first responses for a prompt end.
func (s *engineScript) set(prompt string, ways ...wayOut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[prompt] = ways
}

// scriptEnds begins the prompts after whose script the engines refuse sends and know no run.
const scriptEnds = "gone "

// handler returns a handler that serves an engine's API according to the script.
func (s *engineScript) handler(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		runID, prompt, isRun := scriptedRun(q)
		if !isRun {
			engine.ServeHTTP(w, q)
			return
		}
		way, known := s.next(runID, prompt)
		switch {
		case !known && prompt == "":
			refuse(w, runID, upstream.RefusedUnknownRun)
		case !known:
			refuse(w, runID, upstream.RefusedRestarted)
		case way == endRefused:
			refuse(w, runID, upstream.RefusedOverloaded)
		default:
			defer func() {
				if p := recover(); p != nil && p != errScriptEnded {
					panic(p)
				}
			}()
			engine.ServeHTTP(&scriptedWriter{ResponseWriter: w, way: way}, q)
		}
	})
}

// scriptedRun returns the run id and prompt of a request that starts or resumes a run. The prompt of a resume is
// empty.
func scriptedRun(q *http.Request) (runID, prompt string, ok bool) {
	switch {
	case q.Method == http.MethodPost && q.URL.Path == upstream.PathRun:
		raw, _ := io.ReadAll(q.Body)
		q.Body = io.NopCloser(bytes.NewReader(raw))
		var r upstream.RunRequest
		_ = json.Unmarshal(raw, &r)
		return r.RunID, r.Prompt, true
	case q.Method == http.MethodGet && strings.HasPrefix(q.URL.Path, upstream.PathRuns):
		return strings.TrimPrefix(q.URL.Path, upstream.PathRuns), "", true
	}
	return "", "", false
}

// refuse writes an engine's refusal of a run.
func refuse(w http.ResponseWriter, runID string, code upstream.RefusalCode) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(upstream.RefusalBody{Refusal: &upstream.Refusal{Code: code, Subject: runID}})
}

// errScriptEnded ends the handler of an engine whose response the script has ended.
var errScriptEnded = fmt.Errorf("the script has ended the response")

// scriptedWriter ends a response of an engine in one way.
type scriptedWriter struct {
	http.ResponseWriter
	way    wayOut
	events int
}

// WriteHeader implements http.ResponseWriter.
func (w *scriptedWriter) WriteHeader(status int) {
	switch w.way {
	case endServerError:
		http.Error(w.ResponseWriter, "failed", http.StatusInternalServerError)
		panic(errScriptEnded)
	case resetBeforeHeaders:
		w.reset()
	}
	w.ResponseWriter.WriteHeader(status)
	if w.way == resetAfterHeaders {
		w.Flush()
		w.reset()
	}
}

// Write implements http.ResponseWriter. The stand-in writes one event or a comment at a time.
func (w *scriptedWriter) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("data:")) {
		w.events++
	}
	if w.events > eventsBeforeBreak && w.way == resetInBody {
		w.Flush()
		w.reset()
	}
	if w.events > eventsBeforeBreak && w.way == endWithoutFinal {
		panic(errScriptEnded)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *scriptedWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// reset resets the connection and ends the handler.
func (w *scriptedWriter) reset() {
	c, _, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		panic(err)
	}
	reset(c)
	panic(errScriptEnded)
}

// addScriptedRunner puts a script between the gateways and a runner.
func (f *fleet) addScriptedRunner(name string, script *engineScript) {
	f.t.Helper()
	s := httptest.NewServer(script.handler(f.runners[name].Handler()))
	f.t.Cleanup(s.Close)
	f.changeRunner(name, func(r *resource.Runner) { r.Address = s.URL })
}

// TestEngineWaysOut guards against an answer of a model that looks whole and isn't, or that joins what two runs
// brought, whatever the ways in which two sends or resumes end. If the engines then work, each answer is whole,
// unless both runners refused. If they then refuse sends and have lost the runs, the answer is whole only if one of
// the two ended whole; otherwise it is, or ends with, an error.
func TestEngineWaysOut(t *testing.T) {
	for _, route := range []string{"alert", "chat"} {
		for _, stream := range []bool{true, false} {
			for _, keyed := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, stream %v, keyed %v", route, stream, keyed), func(t *testing.T) {
					testEngineWaysOut(t, route, stream, keyed)
				})
			}
		}
	}
}

// testEngineWaysOut plays all pairs of ways out for one kind of request.
func testEngineWaysOut(t *testing.T, route string, stream, keyed bool) {
	const tokens = 20
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	script := &engineScript{scripts: map[string][]wayOut{}, prompts: map[string]string{}}
	f.addScriptedRunner("r1", script)
	f.addScriptedRunner("r2", script)
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	var playing sync.WaitGroup
	slots := make(chan struct{}, concurrentCases)
	for _, rest := range []string{"", scriptEnds} {
		for _, first := range waysOut {
			for _, second := range waysOut {
				prompt := fmt.Sprintf("%s%s, %s", rest, first, second)
				script.set(prompt, first, second)
				a := testRequest{body: completion(route, prompt, tokens, stream), header: map[string]string{}}
				if keyed {
					a.header[headerIdempotencyKey] = prompt
				}
				playing.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					resp, err := a.do(g)
					if err != nil {
						t.Errorf("%s: %v", prompt, err)
						return
					}
					defer resp.Body.Close()
					checkEngineOutcome(t, prompt, readResponse(resp), first, second, answerTo(prompt, tokens))
				})
			}
		}
	}
	playing.Wait()
}

// concurrentCases is the number of pairs of ways out that are played at a time.
const concurrentCases = 8

// checkEngineOutcome checks what a caller got against how the first two responses of engines ended. Two refusals
// come from both runners, so that no other one is left and the request has not run.
func checkEngineOutcome(t *testing.T, prompt string, p testResponse, first, second wayOut, want string) {
	t.Helper()
	refused := first == endRefused && second == endRefused
	whole := first == endWhole || second == endWhole || !strings.HasPrefix(prompt, scriptEnds) && !refused
	if whole {
		if p.err != nil || !p.complete || p.status != http.StatusOK || p.text != want {
			t.Errorf("%s: status %d, complete %v, error %+v, %d bytes; want the whole answer", prompt, p.status, p.complete, p.err, len(p.text))
		}
		return
	}
	if p.complete || p.err == nil || (p.err.Run == errkind.NotRun) != refused {
		t.Errorf("%s: status %d, complete %v, error %+v, %d bytes; want an error, not run %v", prompt, p.status, p.complete, p.err, len(p.text), refused)
	}
}
