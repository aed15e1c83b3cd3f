package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
)

// kind is the kind of request that a caller makes. Its value is the label in the table.
type kind string

// The kinds of requests.
const (
	kindIdempotent        kind = "idempotent"         // to a model, may run twice
	kindOnce              kind = "once, no key"       // to a model, must not run twice
	kindKeyed             kind = "once, keyed"        // to a model, with an Idempotency-Key
	kindServiceOnce       kind = "service, once"      // to the plain service, must not run twice
	kindServiceRepeatable kind = "service, repeating" // to the plain service, may run twice
)

// kinds lists the kinds in the order of the table.
var kinds = []kind{kindIdempotent, kindOnce, kindKeyed, kindServiceOnce, kindServiceRepeatable}

// mix lists the kinds of ten consecutive requests.
var mix = [...]kind{
	kindIdempotent, kindOnce, kindKeyed, kindServiceOnce, kindOnce,
	kindKeyed, kindIdempotent, kindOnce, kindKeyed, kindServiceRepeatable,
}

// retriesAfterAnswer reports whether a caller of this kind retries after an answer
// that doesn't rule out that the request ran.
func (k kind) retriesAfterAnswer() bool { return k != kindOnce && k != kindServiceOnce }

// mayRunTwice reports whether a second run of the request is harmless.
func (k kind) mayRunTwice() bool { return k == kindIdempotent || k == kindServiceRepeatable }

const (
	maxAttempts       = 200
	attemptsAfterHeal = 8 // answers that a caller gets after the end of the fault before it gives up
	unstreamedEvery   = 4 // one in this many rounds of the mix requests answers that are not streamed
	serviceBytes      = 40 << 10
	minRetryPause     = 100 * time.Millisecond
	retryPauseJitter  = 200 * time.Millisecond
)

// attempt is one sending of a request, with its outcome. The notes on misses print the
// names of its fields.
type attempt struct {
	mark    string  // marker of the request, by which upstreams count executions
	gateway int     // index of the gateway
	outcome outcome // as the caller sees it
	detail  string  // error or message behind the outcome
	killed  bool    // the gateway was killed before the attempt ended
	before  int     // executions of the marker before a retry of a keyed request was sent
	after   int     // executions of the marker after a "not run" answer
	conn    string  // what happened on the connection, if it ended without an answer
}

// history records all attempts of one caller for one request.
type history struct {
	id       string
	kind     kind
	attempts []attempt
}

func (s history) last() attempt { return s.attempts[len(s.attempts)-1] }

// caller makes one request and retries it where that is allowed.
type caller struct {
	f        *fleet
	p        profile
	number   int // among all callers; determines the kind of the request and, with the seed, the random choices
	kind     kind
	rng      *rand.Rand
	inFlight *atomic.Int64 // running attempts of all callers
	client   http.RoundTripper
	trace    *connTrace // of the present attempt
}

// newCaller returns the caller with a number.
func newCaller(f *fleet, p profile, number int, inFlight *atomic.Int64) *caller {
	c := &caller{
		f: f, p: p, number: number, kind: mix[number%len(mix)], inFlight: inFlight,
		rng: rand.New(rand.NewPCG(p.seed, uint64(number))),
	}
	c.client = &http.Transport{
		DisableKeepAlives: true, // on a reused connection the transport could resend a request by itself
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.trace.dial(ctx, network, address)
		},
	}
	return c
}

// run sends attempts until an answer is complete or final, or until the attempts
// allowed after the end of the fault are used up.
func (c *caller) run(ctx context.Context) history {
	h := history{id: fmt.Sprintf("s%d-r%d", c.p.seed, c.number), kind: c.kind}
	firstGateway, answersLeft := c.rng.IntN(zoneCount), attemptsAfterHeal
	for n := 0; ; n++ {
		a := c.attempt(ctx, h.id, n, (firstGateway+n)%zoneCount)
		h.attempts = append(h.attempts, a)
		if !c.shouldRetry(a.outcome) {
			return h
		}
		if a.outcome != outcomeUnreached && c.f.healed.Load() {
			answersLeft--
		}
		if answersLeft == 0 || n > maxAttempts {
			return h
		}
		time.Sleep(minRetryPause + time.Duration(c.rng.Int64N(int64(retryPauseJitter))))
	}
}

// shouldRetry reports whether the caller sends the request again after an outcome. After a
// "not run" answer, or if the gateway can't be reached, the request certainly didn't run.
// Then requests of all kinds are sent again.
func (c *caller) shouldRetry(o outcome) bool {
	switch o {
	case outcomeWhole, outcomeWrongText:
		return false
	case outcomeNotRun, outcomeUnreached:
		return true
	}
	return c.kind.retriesAfterAnswer()
}

// attempt sends the request to one gateway and records the outcome. The marker is part of
// the body. A keyed request has the same marker in all attempts, because its body must not
// change; the other kinds have a new one in each attempt.
func (c *caller) attempt(ctx context.Context, id string, n, gateway int) attempt {
	a := attempt{mark: id, gateway: gateway}
	if c.kind != kindKeyed {
		a.mark = fmt.Sprintf("%s-a%d", id, n)
	}
	if n > 0 && c.kind == kindKeyed {
		a.before = c.f.executions(a.mark)
	}
	ctx, cancel := context.WithTimeout(ctx, c.p.perAttempt)
	defer cancel()
	c.trace = newTrace()
	c.inFlight.Add(1)
	a.outcome, a.detail = c.send(c.trace.withTrace(ctx), a.mark, gateway)
	c.inFlight.Add(-1)
	if a.outcome != outcomeWhole && ctx.Err() != nil {
		a.outcome = outcomeLeft
	}
	a.killed = c.f.isKilled(gateway)
	if a.outcome == outcomeCut {
		a.conn = c.trace.String() + "; " + c.f.gateways[gateway].callers.endOf(c.trace.localAddress())
	}
	if a.outcome == outcomeNotRun {
		a.after = c.f.executions(a.mark)
	}
	return a
}

// send sends the request once, to the model or to the plain service according to its kind.
// It returns the outcome with a detail for the notes.
func (c *caller) send(ctx context.Context, mark string, gateway int) (outcome, string) {
	base := c.f.gateways[gateway].callers.url()
	if c.kind == kindServiceOnce || c.kind == kindServiceRepeatable {
		return c.sendService(ctx, base, servicePath(gateway)+"/"+mark, mark)
	}
	return c.sendModel(ctx, base, mark)
}

// sendModel sends a completion request and compares the answer with the text that the
// stand-in runner generates for the prompt.
func (c *caller) sendModel(ctx context.Context, base, mark string) (outcome, string) {
	route := atMostOnceRoute
	if c.kind == kindIdempotent {
		route = idempotentRoute
	}
	prompt := "[mark=" + mark + "] How is the air near the river today?"
	streamed := c.number/len(mix)%unstreamedEvery != 0
	body := `{"model":"` + route + `","prompt":` + strconv.Quote(prompt) + `,"max_tokens":` + strconv.Itoa(c.p.tokens) +
		`,"stream":` + strconv.FormatBool(streamed) + `}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return outcomeUnreached, err.Error()
	}
	if c.kind == kindKeyed {
		request.Header.Set("Idempotency-Key", mark)
	}
	want := runner.OutputText(upstream.RunRequest{Model: modelName, Version: versionName, Prompt: prompt, MaxTokens: c.p.tokens})
	return c.exchange(request, want, readModel)
}

// sendService sends a request to the plain service: POST with a large body if it must not
// run twice, otherwise GET. The service answers with the request that it got.
func (c *caller) sendService(ctx context.Context, base, path, mark string) (outcome, string) {
	method, body := http.MethodGet, ""
	if c.kind == kindServiceOnce {
		method, body = http.MethodPost, strings.Repeat(mark+" ", serviceBytes/(len(mark)+1))
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return outcomeUnreached, err.Error()
	}
	request.Header.Set(service.HeaderMark, mark)
	return c.exchange(request, method+" "+path+"\n"+body, readService)
}

// exchange sends a request once, reads the answer and compares its text with want.
func (c *caller) exchange(request *http.Request, want string, read reader) (outcome, string) {
	request.GetBody = nil // prevents the transport from resending it
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := c.client.RoundTrip(request)
	if err != nil {
		if neverSent(err) {
			return outcomeUnreached, err.Error()
		}
		return outcomeCut, err.Error()
	}
	defer response.Body.Close()
	text, o, detail := read(response)
	if o == outcomeWhole && text != want {
		return outcomeWrongText, fmt.Sprintf("%d bytes %.60q, want %d bytes %.60q", len(text), text, len(want), want)
	}
	return o, detail
}
