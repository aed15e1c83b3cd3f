package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// writeTimeout bounds each write to a caller. A caller that doesn't accept a write within this
// time counts as disconnected. Otherwise a caller that stops reading would occupy an engine's
// slot forever.
const writeTimeout = time.Minute

// response writes the answer to one call to a model. The methods of a streamed response write
// to the caller before they return, so a slow caller slows down its own stream only.
type response interface {
	// Token adds one token to the answer.
	Token(text string) error
	// End completes the answer with a finish reason and the token counts.
	End(reason string, use tokenUsage) error
	// Reset discards the tokens that are buffered and not yet written, so that another run can
	// produce the answer from its first token.
	Reset()
	// Started reports whether the status line was written to the caller.
	Started() bool
	// Fail reports to the caller that a started answer will not be completed, and why.
	Fail(e *errkind.Error)
}

// tokenUsage is the "usage" field of an answer. All fields are numbers of tokens.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// newTokenUsage returns the usage for numbers of prompt and output tokens.
func newTokenUsage(prompt, completion int) tokenUsage {
	return tokenUsage{prompt, completion, prompt + completion}
}

// responseHead holds the fields that all chunks of a streamed answer and complete answers have.
// Created is in Unix seconds; Model is the name of the route.
type responseHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// responseBody is a complete answer or one chunk of a streamed answer.
type responseBody struct {
	responseHead
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// choice is the only element of an answer's choices. Delta is set in chunks of a chat answer,
// Message in complete chat answers and Text in completions. FinishReason is nil until the last
// chunk.
type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatMessage is a message, or a part of one, in the answer of the chat endpoint.
type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// newResponse returns a streamed or a buffered response, as the call's body requests. ctx is the
// context of the call; its cause explains a failed write.
func newResponse(ctx context.Context, c *call, w http.ResponseWriter) response {
	head := responseHead{ID: c.id, Created: c.arrived.Unix(), Model: c.routeName}
	if c.body.stream {
		head.Object = "text_completion"
		if c.body.endpoint == endpointChat {
			head.Object = "chat.completion.chunk"
		}
		return &streamedResponse{
			ctx: ctx, w: w, rc: http.NewResponseController(w),
			head: head, endpoint: c.body.endpoint, includeUsage: c.body.includeUsage,
		}
	}
	head.Object = "text_completion"
	if c.body.endpoint == endpointChat {
		head.Object = "chat.completion"
	}
	return &bufferedResponse{ctx: ctx, w: w, head: head, endpoint: c.body.endpoint}
}

// bufferedResponse collects the tokens and writes the whole answer as one JSON object at its
// end. It never counts as started, so any failure before the end can be answered as an error.
type bufferedResponse struct {
	ctx      context.Context
	w        http.ResponseWriter
	head     responseHead
	endpoint endpoint
	text     strings.Builder
}

// Token implements response.
func (a *bufferedResponse) Token(text string) error {
	a.text.WriteString(text)
	return nil
}

// Reset implements response.
func (a *bufferedResponse) Reset() { a.text.Reset() }

// Started implements response.
func (a *bufferedResponse) Started() bool { return false }

// Fail implements response. It does nothing, because the answer is never started.
func (a *bufferedResponse) Fail(*errkind.Error) {}

// End implements response. It writes the answer to the caller.
func (a *bufferedResponse) End(reason string, use tokenUsage) error {
	text := a.text.String()
	ch := choice{FinishReason: &reason}
	if a.endpoint == endpointChat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	raw, err := json.Marshal(responseBody{responseHead: a.head, Choices: []choice{ch}, Usage: &use})
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	a.w.Header().Set("Content-Type", "application/json")
	// An HTTP/1.0 caller knows no chunks: without the length, a broken connection looks like the end.
	a.w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	a.w.WriteHeader(http.StatusOK)
	if _, err := a.w.Write(raw); err != nil {
		return callerGoneError(a.ctx, errkind.Ran)
	}
	return nil
}

// streamedResponse writes each token as a server-sent event. The status line is sent with the
// first event, so a request that fails before its first token gets an error status.
type streamedResponse struct {
	ctx          context.Context
	w            http.ResponseWriter
	rc           *http.ResponseController
	head         responseHead
	endpoint     endpoint
	includeUsage bool
	started      bool
	buf          bytes.Buffer // reused for each event
}

// Reset implements response. It does nothing, because no token is buffered.
func (a *streamedResponse) Reset() {}

// Started implements response.
func (a *streamedResponse) Started() bool { return a.started }

// Token implements response.
func (a *streamedResponse) Token(text string) error {
	ch := choice{}
	if a.endpoint == endpointChat {
		ch.Delta = &chatMessage{Content: text}
		if !a.started {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	return a.writeEvent(responseBody{responseHead: a.head, Choices: []choice{ch}})
}

// End implements response. It writes the last chunk and the [DONE] event.
func (a *streamedResponse) End(reason string, use tokenUsage) error {
	ch := choice{FinishReason: &reason}
	if a.endpoint == endpointChat {
		ch.Delta = &chatMessage{}
	} else {
		ch.Text = new(string)
	}
	last := responseBody{responseHead: a.head, Choices: []choice{ch}}
	if a.includeUsage {
		last.Usage = &use
	}
	if err := a.writeEvent(last); err != nil {
		return err
	}
	return a.write([]byte("data: [DONE]\n\n"))
}

// Fail implements response. It sends an error event and no [DONE], so that no client mistakes
// the answer for a complete one.
func (a *streamedResponse) Fail(e *errkind.Error) {
	_ = a.writeEvent(newErrorBody(e))
}

// writeEvent writes v as the JSON data of one event.
func (a *streamedResponse) writeEvent(v any) error {
	a.buf.Reset()
	a.buf.WriteString("data: ")
	// An event ends with a blank line: Encode writes the first newline, WriteByte the second.
	if err := json.NewEncoder(&a.buf).Encode(v); err != nil {
		return errors.Wrap(err, "encode event")
	}
	a.buf.WriteByte('\n')
	return a.write(a.buf.Bytes())
}

// write sends p to the caller at once. The first write also sends the status line. It returns an
// error of kind canceled if the caller is gone.
func (a *streamedResponse) write(p []byte) error {
	if !a.started {
		h := a.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.started = true
	}
	// Not every writer supports deadlines (httptest.ResponseRecorder doesn't).
	_ = a.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(p); err != nil {
		return callerGoneError(a.ctx, errkind.RunUnknown)
	}
	if err := a.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGoneError(a.ctx, errkind.RunUnknown)
	}
	return nil
}
