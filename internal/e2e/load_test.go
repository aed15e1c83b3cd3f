package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

const (
	answerTokens  = 30
	maxAttempts   = 200 // per request, over all gateways
	retryInterval = 50 * time.Millisecond
)

// result counts the outcomes of requests.
type result struct {
	whole        atomic.Int64 // complete answers with the right text
	refused      atomic.Int64 // attempts that did not run, after which the caller tried again
	cut          atomic.Int64 // answers that were cut off or never came
	wrong        atomic.Int64 // complete answers whose text is not that of the request
	mu           sync.Mutex   // protects firstFailure
	firstFailure string       // empty if there was none
}

// fail adds one to counter, which is cut or wrong, and keeps the message if it is the first.
func (r *result) fail(counter *atomic.Int64, format string, args ...any) {
	counter.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstFailure == "" {
		r.firstFailure = fmt.Sprintf(format, args...)
	}
}

// load sends requests from several concurrent callers until stop is closed.
type load struct {
	result
	gateways []*gatewayProcess
	client   *http.Client
	stop     chan struct{}
	done     sync.WaitGroup
	sent     sync.Map // set of the markers of all requests
}

// startLoad starts callers that send requests until finish is called.
func startLoad(gateways []*gatewayProcess, callers int) *load {
	l := &load{gateways: gateways, client: &http.Client{Timeout: testTimeout}, stop: make(chan struct{})}
	for c := range callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.runCaller(c)
		}()
	}
	return l
}

// finish stops the callers and waits until their last requests have ended.
func (l *load) finish() {
	close(l.stop)
	l.done.Wait()
	l.client.CloseIdleConnections()
}

// runCaller sends the requests of caller c, one after the other.
func (l *load) runCaller(c int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		marker := fmt.Sprintf("c%d-n%d", c, n)
		l.sent.Store(marker, true)
		l.request(marker, c+n)
	}
}

// request sends a request to the ready gateways in turn, as a load balancer would, until
// a gateway accepts it. turn selects the first gateway. request tries again only if the
// request certainly did not run, because the route is not idempotent.
func (l *load) request(marker string, turn int) {
	for range maxAttempts {
		g := l.gateways[turn%len(l.gateways)]
		turn++
		if !g.process.isReady() {
			time.Sleep(pollInterval)
			continue
		}
		again := l.attempt(g, marker)
		if !again {
			return
		}
		l.refused.Add(1)
		time.Sleep(retryInterval)
	}
	l.fail(&l.cut, "%s: refused %d times", marker, maxAttempts)
}

// prompt returns a prompt from which a stand-in runner takes the request's marker and the
// length of its answer.
func prompt(marker string) string {
	return fmt.Sprintf("How is the air? [mark=%s] [out=%d]", marker, answerTokens)
}

// attempt sends a streamed completion and reports whether to try again.
func (l *load) attempt(g *gatewayProcess, marker string) (again bool) {
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "stream": true, "max_tokens": 64}`, alertRoute, prompt(marker))
	request, err := http.NewRequest(http.MethodPost, g.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		l.fail(&l.cut, "%s: %v", marker, err)
		return false
	}
	request.GetBody = nil // keeps net/http from sending the request again
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := l.client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return true // the gateway's process had ended
		}
		l.fail(&l.cut, "%s at %s: %v", marker, g.process.name, err)
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.checkRefusal(response, marker)
	}
	l.checkStream(response.Body, marker)
	return false
}

// checkRefusal reports whether to try again after a response with an error status. It
// records a failure unless the response says that the request did not run.
func (l *load) checkRefusal(response *http.Response, marker string) (again bool) {
	raw, _ := io.ReadAll(response.Body)
	if strings.Contains(string(raw), `"not-run"`) {
		return true
	}
	l.fail(&l.cut, "%s: status %d: %s", marker, response.StatusCode, raw)
	return false
}

// checkStream reads a stream, compares its text with the expected one and counts the
// outcome.
func (l *load) checkStream(body io.Reader, marker string) {
	var text strings.Builder
	ended := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			ended = true
		default:
			text.WriteString(chunkText(data))
		}
	}
	if !ended || lines.Err() != nil {
		l.fail(&l.cut, "%s: cut after %d bytes: %v", marker, text.Len(), lines.Err())
		return
	}
	want := runner.OutputText(upstream.RunRequest{Model: modelName, Version: versionName, Prompt: prompt(marker), MaxTokens: 64})
	if text.String() != want {
		l.fail(&l.wrong, "%s: got %q, want %q", marker, text.String(), want)
		return
	}
	l.whole.Add(1)
}

// chunkText returns the text of a completion or of a chunk of one, or "" if data holds
// none.
func chunkText(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// executedTwice returns the markers that ran more than once over all runners, with their
// number of runs.
func executedTwice(t *testing.T, runners []*runnerProcess) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, r := range runners {
		for mark, n := range r.executions(t) {
			total[mark] += n
		}
	}
	for mark, n := range total {
		if n <= 1 {
			delete(total, mark)
		}
	}
	return total
}
