package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// writeTimeout is how long a caller may leave a write waiting. Then it counts
// as gone, so that a stuck caller doesn't hold an engine's place for ever.
const writeTimeout = time.Minute

// answer writes the answer to one call. Token and End write directly to the
// caller, which is how a slow caller slows its stream and nothing else.
type answer interface {
	// Token passes on one token.
	Token(text string) error
	// End closes a whole answer.
	End(reason string, use tokenUse) error
	// Reset drops tokens of which the caller has seen nothing.
	Reset()
	// Begun tells whether the caller has seen a part of the answer.
	Begun() bool
	// Fail tells the caller that a begun answer will not become whole.
	Fail(e *errkind.Error)
}

// tokenUse is the "usage" field.
type tokenUse struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newTokenUse(prompt, completion int) tokenUse {
	return tokenUse{prompt, completion, prompt + completion}
}

// answerHead is what every chunk and answer repeats.
type answerHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type answerBody struct {
	answerHead
	Choices []choice  `json:"choices"`
	Usage   *tokenUse `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// newAnswer makes the answer in the form that the call asks for.
func newAnswer(ctx context.Context, c *call, w http.ResponseWriter) answer {
	head := answerHead{ID: c.id, Created: c.arrived.Unix(), Model: c.routeName}
	if c.body.stream {
		head.Object = "text_completion"
		if c.body.form == formChat {
			head.Object = "chat.completion.chunk"
		}
		return &streamedAnswer{
			ctx: ctx, w: w, rc: http.NewResponseController(w),
			head: head, form: c.body.form, usage: c.body.usage,
		}
	}
	head.Object = "text_completion"
	if c.body.form == formChat {
		head.Object = "chat.completion"
	}
	return &wholeAnswer{ctx: ctx, w: w, head: head, form: c.body.form}
}

// wholeAnswer gathers the tokens and writes once.
type wholeAnswer struct {
	ctx  context.Context
	w    http.ResponseWriter
	head answerHead
	form form
	text strings.Builder
}

func (a *wholeAnswer) Token(text string) error {
	a.text.WriteString(text)
	return nil
}

func (a *wholeAnswer) Reset() { a.text.Reset() }

func (a *wholeAnswer) Begun() bool { return false }

func (a *wholeAnswer) Fail(*errkind.Error) {}

func (a *wholeAnswer) End(reason string, use tokenUse) error {
	text := a.text.String()
	ch := choice{FinishReason: &reason}
	if a.form == formChat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	raw, err := json.Marshal(answerBody{answerHead: a.head, Choices: []choice{ch}, Usage: &use})
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	a.w.Header().Set("Content-Type", "application/json")
	a.w.WriteHeader(http.StatusOK)
	if _, err := a.w.Write(raw); err != nil {
		return leftError(a.ctx, errkind.Ran)
	}
	return nil
}

// streamedAnswer writes server-sent events. The status line is only written
// with the first token, so that a refusal before it keeps its own status.
type streamedAnswer struct {
	ctx   context.Context
	w     http.ResponseWriter
	rc    *http.ResponseController
	head  answerHead
	form  form
	usage bool
	begun bool
	buf   bytes.Buffer
}

func (a *streamedAnswer) Reset() {}

func (a *streamedAnswer) Begun() bool { return a.begun }

func (a *streamedAnswer) Token(text string) error {
	ch := choice{}
	if a.form == formChat {
		ch.Delta = &chatMessage{Content: text}
		if !a.begun {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	return a.event(answerBody{answerHead: a.head, Choices: []choice{ch}})
}

func (a *streamedAnswer) End(reason string, use tokenUse) error {
	ch := choice{FinishReason: &reason}
	if a.form == formChat {
		ch.Delta = &chatMessage{}
	} else {
		ch.Text = new(string)
	}
	last := answerBody{answerHead: a.head, Choices: []choice{ch}}
	if a.usage {
		last.Usage = &use
	}
	if err := a.event(last); err != nil {
		return err
	}
	return a.write([]byte("data: [DONE]\n\n"))
}

// Fail sends an error event and no [DONE], so that no client takes the answer for whole.
func (a *streamedAnswer) Fail(e *errkind.Error) {
	_ = a.event(newErrorBody(e))
}

func (a *streamedAnswer) event(v any) error {
	a.buf.Reset()
	a.buf.WriteString("data: ")
	// Encode ends with one newline; the blank line that ends an event needs another.
	if err := json.NewEncoder(&a.buf).Encode(v); err != nil {
		return errors.Wrap(err, "encode event")
	}
	a.buf.WriteByte('\n')
	return a.write(a.buf.Bytes())
}

func (a *streamedAnswer) write(p []byte) error {
	if !a.begun {
		h := a.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.begun = true
	}
	// Not every writer has deadlines (a test's recorder has none).
	_ = a.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(p); err != nil {
		return leftError(a.ctx, errkind.RunUnknown)
	}
	if err := a.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return leftError(a.ctx, errkind.RunUnknown)
	}
	return nil
}
