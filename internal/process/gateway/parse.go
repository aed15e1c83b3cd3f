package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/request/buffer"
)

// Request headers. A header takes precedence over the body field of the same meaning.
const (
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerAttempt        = "Idempotency-Attempt"
	headerRequestID      = "X-Request-Id"
)

// Limits of request fields and names of body fields in error messages. A higher priority is
// more important.
const (
	maxDeadline              = time.Hour
	minPriority              = 0
	maxPriority              = 9
	maxOutputTokens          = 1 << 20 // largest value of a caller's token limit
	maxKeyBytes              = 255     // of an Idempotency-Key
	maxMessages              = 4096
	defaultMaxOutput         = 1024 // output tokens, if neither the caller nor the route sets a limit
	fieldDeadline            = "deadline_ms"
	fieldPriority            = "priority"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// attemptFirst is the only allowed value of the Idempotency-Attempt header. It states that the
// caller sends the idempotency key for the first time.
const attemptFirst = "first"

// endpoint is one of the two endpoints for requests to models.
type endpoint int

const (
	endpointChat endpoint = iota
	endpointCompletion
)

// Paths of the endpoints.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

func (ep endpoint) path() string {
	if ep == endpointChat {
		return pathChat
	}
	return pathCompletion
}

// requestBody holds the fields of a request body that the gateway uses, for either
// endpoint.
type requestBody struct {
	endpoint     endpoint
	model        string
	prompt       string
	maxTokens    int // 0: not set
	stream       bool
	includeUsage bool          // send the token counts at the end of a stream
	deadline     time.Duration // time limit from the arrival; 0: not set
	priority     *int          // nil: not set
}

// wireBody is the JSON body of a request to either endpoint. Unknown fields are ignored, because
// clients of the API send many fields that only concern engines.
type wireBody struct {
	Model         string          `json:"model"`
	Messages      []wireMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	MaxTokens     *int            `json:"max_tokens"`
	MaxCompletion *int            `json:"max_completion_tokens"`
	N             *int            `json:"n"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	DeadlineMS *int64 `json:"deadline_ms"`
	Priority   *int   `json:"priority"`
}

// wireMessage is one element of wireBody.Messages. Content is a string or a list of wirePart.
type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// wirePart is one part of a message's content. Only parts of type "text" are accepted.
type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readBody reads the body of a request into memory, limit bytes at most. Its bytes are booked before they are held.
// account is the client account of the request.
func readBody(w http.ResponseWriter, r *http.Request, account string, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, bodyTooLargeError(limit)
	}
	held := caller.RequestOf(r.Context())
	held.BeginBody(account)
	body, err := readBookedBody(w, r, held, limit)
	if !held.EndBody() {
		err = caller.ErrClosing
	}
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.As(err, &maxBytesErr), errors.Is(err, buffer.ErrTooLarge):
		return nil, bodyTooLargeError(limit)
	case errors.Is(err, buffer.ErrNoRoom), errors.Is(err, caller.ErrClosing):
		return nil, errkind.New(errkind.Overloaded, errkind.NotRun, "there is no room for the body now").WithRetryAfter(caller.RetryAfter)
	}
	return nil, errkind.Wrap(err, errkind.InvalidRequest, errkind.NotRun, "the body could not be read")
}

// readBookedBody reads a body into pieces that are booked, each with the copy that joins them.
func readBookedBody(w http.ResponseWriter, r *http.Request, held *caller.Request, limit int64) (*buffer.Buffer, error) {
	book := func(n int64) bool { return held.Book(budget.Bodies, 2*n) }
	length := max(0, r.ContentLength)
	if !book(length) {
		return nil, buffer.ErrNoRoom
	}
	return buffer.Read(limitBody(w, r.Body, limit), buffer.Options{Length: length, Limit: limit, Book: book})
}

// bodyTooLargeError returns the error for a body of more than limit bytes.
func bodyTooLargeError(limit int64) error {
	return errkind.Field(errkind.RequestTooLarge, "body",
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// parseBody validates the body of a request to an endpoint and returns the fields that the
// gateway uses. An error names the field that is invalid.
func parseBody(ep endpoint, raw []byte) (requestBody, error) {
	var w wireBody
	if err := decodeJSON(raw, &w); err != nil {
		return requestBody{}, err
	}
	b := requestBody{endpoint: ep, model: w.Model, stream: w.Stream, includeUsage: w.StreamOptions.IncludeUsage}
	if w.Model == "" {
		return b, invalidField("model", "is missing; it names a route")
	}
	if w.N != nil && *w.N != 1 {
		return b, invalidField("n", "is "+strconv.Itoa(*w.N)+"; only 1 answer can be asked for")
	}
	var err error
	if b.prompt, err = promptOf(ep, w); err != nil {
		return b, err
	}
	if b.maxTokens, err = maxTokensOf(w); err != nil {
		return b, err
	}
	if w.DeadlineMS != nil {
		if b.deadline, err = checkDeadline(fieldDeadline, *w.DeadlineMS); err != nil {
			return b, err
		}
	}
	if w.Priority != nil {
		if err := checkPriority(fieldPriority, *w.Priority); err != nil {
			return b, err
		}
		b.priority = w.Priority
	}
	return b, nil
}

// decodeJSON decodes raw, which must hold exactly one JSON value, into target. An error names the
// field of the wrong type, or "body" if raw is not valid JSON.
func decodeJSON(raw []byte, target any) error {
	err := json.Unmarshal(raw, target)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		field := typeErr.Field
		if field == "" {
			field = "body"
		}
		return invalidField(field, "is a JSON "+typeErr.Value+", which doesn't fit")
	}
	if err != nil {
		return invalidField("body", "is not valid JSON: "+err.Error())
	}
	return nil
}

// promptOf returns the prompt of a request to either endpoint.
func promptOf(ep endpoint, w wireBody) (string, error) {
	if ep == endpointChat {
		return chatPrompt(w.Messages)
	}
	return completionPrompt(w.Prompt)
}

// chatPrompt joins messages into one prompt, with a line "role: text" for each. Conversations that
// begin with the same messages yield prompts with a common prefix, which prefix caches need.
func chatPrompt(messages []wireMessage) (string, error) {
	if len(messages) == 0 {
		return "", invalidField("messages", "is missing or empty")
	}
	if len(messages) > maxMessages {
		return "", invalidField("messages", "holds more than "+strconv.Itoa(maxMessages)+" messages")
	}
	var b strings.Builder
	for i, m := range messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return "", invalidField(field+".role", "is missing")
		}
		text, err := contentOf(field+".content", m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// contentOf returns the text of a message's content, which is a string or a list of text parts.
// field is the name of the content in errors.
func contentOf(field string, raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", invalidField(field, "is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []wirePart
	if json.Unmarshal(raw, &parts) != nil {
		return "", invalidField(field, "is neither a string nor a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", invalidField(field, "holds a part of type "+strconv.Quote(p.Type)+"; only text is served")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// completionPrompt returns the prompt of a completion request, which is a string or a list of one
// string.
func completionPrompt(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", invalidField("prompt", "is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return "", invalidField("prompt", "is neither a string nor a list of one string")
	}
	return list[0], nil
}

// maxTokensOf returns the caller's limit on output tokens, or 0 if the body sets none.
// max_completion_tokens takes precedence over max_tokens.
func maxTokensOf(w wireBody) (int, error) {
	field, value := fieldMaxTokens, w.MaxTokens
	if w.MaxCompletion != nil {
		field, value = fieldMaxCompletionTokens, w.MaxCompletion
	}
	if value == nil {
		return 0, nil
	}
	if *value < 1 || *value > maxOutputTokens {
		return 0, invalidField(field, "is "+strconv.Itoa(*value)+"; allowed are 1 to "+strconv.Itoa(maxOutputTokens))
	}
	return *value, nil
}

// invalidField returns an invalid_request error for a header or body field. problem continues a
// sentence that begins with the field's name.
func invalidField(field, problem string) error {
	return errkind.Field(errkind.InvalidRequest, field, field+" "+problem)
}
