package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Headers of callers. A header goes before the body field of the same meaning.
const (
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerAttempt        = "Idempotency-Attempt"
	headerRequestID      = "X-Request-Id"
)

// Bounds of what callers may ask.
const (
	maxDeadline       = time.Hour
	minPriority       = 0
	maxPriority       = 9
	maxOutputTokens   = 1 << 20
	maxKeyBytes       = 255
	maxMessages       = 4096
	defaultMaxOutput  = 1024 // tokens, if neither the caller nor the route says
	fieldDeadline     = "deadline_ms"
	fieldPriority     = "priority"
	fieldMaxTokens    = "max_tokens"
	fieldMaxCompleted = "max_completion_tokens"
)

// attemptFirst in the Idempotency-Attempt header states that the caller never sent
// the key before.
const attemptFirst = "first"

// form is one of the two request forms of the API.
type form int

const (
	formChat form = iota
	formCompletion
)

// Paths of the two forms.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

func (f form) path() string {
	if f == formChat {
		return pathChat
	}
	return pathCompletion
}

// requestBody is what the gateway uses of a request body, of either form.
type requestBody struct {
	form      form
	model     string
	prompt    string
	maxTokens int // zero: not given
	stream    bool
	usage     bool // send the token counts at the end of a stream
	deadline  time.Duration
	priority  *int
}

// wireBody is the body of either form as JSON. Unknown fields are allowed,
// because clients of the API send many that engines may use and gateways need not.
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

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	raw, err := io.ReadAll(limitBody(w, r.Body, limit))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, errkind.NotRun, "the body could not be read")
	}
	return raw, nil
}

func tooLarge(limit int64) error {
	return errkind.Field(errkind.RequestTooLarge, "body",
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// parseBody checks a body and gives what the gateway uses of it.
func parseBody(f form, raw []byte) (requestBody, error) {
	var w wireBody
	if err := decodeJSON(raw, &w); err != nil {
		return requestBody{}, err
	}
	b := requestBody{form: f, model: w.Model, stream: w.Stream, usage: w.StreamOptions.IncludeUsage}
	if w.Model == "" {
		return b, invalid("model", "is missing; it names a route")
	}
	if w.N != nil && *w.N != 1 {
		return b, invalid("n", "is "+strconv.Itoa(*w.N)+"; only 1 answer can be asked for")
	}
	var err error
	if b.prompt, err = promptOf(f, w); err != nil {
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

// decodeJSON decodes exactly one JSON object.
func decodeJSON(raw []byte, into any) error {
	err := json.Unmarshal(raw, into)
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		field := mistyped.Field
		if field == "" {
			field = "body"
		}
		return invalid(field, "is a JSON "+mistyped.Value+", which doesn't fit")
	}
	if err != nil {
		return invalid("body", "is not valid JSON: "+err.Error())
	}
	return nil
}

func promptOf(f form, w wireBody) (string, error) {
	if f == formChat {
		return chatPrompt(w.Messages)
	}
	return completionPrompt(w.Prompt)
}

// chatPrompt joins messages in the plainest template. Messages that begin alike
// give prompts that begin alike, which is what the prefix cache needs.
func chatPrompt(messages []wireMessage) (string, error) {
	if len(messages) == 0 {
		return "", invalid("messages", "is missing or empty")
	}
	if len(messages) > maxMessages {
		return "", invalid("messages", "holds more than "+strconv.Itoa(maxMessages)+" messages")
	}
	var b strings.Builder
	for i, m := range messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return "", invalid(field+".role", "is missing")
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

// contentOf reads a string or a list of text parts.
func contentOf(field string, raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", invalid(field, "is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []wirePart
	if json.Unmarshal(raw, &parts) != nil {
		return "", invalid(field, "is neither a string nor a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", invalid(field, "holds a part of type "+strconv.Quote(p.Type)+"; only text is served")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// completionPrompt reads a string or a list of one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", invalid("prompt", "is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) != 1 {
		return "", invalid("prompt", "is neither a string nor a list of one string")
	}
	return list[0], nil
}

func maxTokensOf(w wireBody) (int, error) {
	field, given := fieldMaxTokens, w.MaxTokens
	if w.MaxCompletion != nil {
		field, given = fieldMaxCompleted, w.MaxCompletion
	}
	if given == nil {
		return 0, nil
	}
	if *given < 1 || *given > maxOutputTokens {
		return 0, invalid(field, "is "+strconv.Itoa(*given)+"; allowed are 1 to "+strconv.Itoa(maxOutputTokens))
	}
	return *given, nil
}

func invalid(field, problem string) error {
	return errkind.Field(errkind.InvalidRequest, field, field+" "+problem)
}
