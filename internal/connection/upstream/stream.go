package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	streamBuffer = 1 << 10                // size of a stream's read buffer, in bytes; small because the transport buffers too
	drainTimeout = 100 * time.Millisecond // for reading the rest of a body after the End, so that the connection can be reused
)

// errStreamIdle is the cause of the error of a stream that exceeded its idle timeout.
var errStreamIdle = errors.New("no byte within the silence limit")

// httpStream reads the items of one run. It has neither goroutine nor queue: while
// the caller does not call Recv, TCP flow control stops the engine from sending. Only one
// goroutine may use a stream; another one can end the stream by canceling the context that
// it was opened with.
type httpStream struct {
	op          string // for errors
	address     string
	parentDone  <-chan struct{} // Done channel of the context that the stream was opened with
	ctx         context.Context
	cancel      context.CancelCauseFunc
	body        io.ReadCloser
	lines       *bufio.Reader
	maxLine     int
	idleTimeout time.Duration
	idleTimer   *time.Timer
	ended       bool
	failed      error
}

// openStream sends a request whose response is a stream of the run. The idle timeout also
// bounds the time until the headers of the response arrive.
func (e *httpEngine) openStream(ctx context.Context, op, method, path string, body any, runID string) (Stream, error) {
	if e.baseErr != nil {
		return nil, notRunError(op, e.address, e.baseErr)
	}
	parentDone := ctx.Done()
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimer := time.AfterFunc(e.opts.StreamIdleTimeout, func() { cancel(errStreamIdle) })
	resp, err := e.openResponse(ctx, op, method, path, body, runID)
	idleTimer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return &httpStream{
		op: op, address: e.address, parentDone: parentDone, ctx: ctx, cancel: cancel,
		body: resp.Body, lines: bufio.NewReaderSize(resp.Body, streamBuffer),
		maxLine: e.opts.MaxLine, idleTimeout: e.opts.StreamIdleTimeout, idleTimer: idleTimer,
	}, nil
}

// openResponse sends the request and checks the status and headers of the response.
func (e *httpEngine) openResponse(ctx context.Context, op, method, path string, body any, runID string) (*http.Response, error) {
	req, err := NewRequest(ctx, method, e.base.String()+path, body)
	if err != nil {
		return nil, notRunError(op, e.address, err)
	}
	req.Header.Set("Accept", ContentTypeStream)
	resp, err := Exchange(e.transport, req, op, e.address)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusalError(resp, runID, op, e.address, e.opts.MaxBody)
	}
	if err := checkStreamHeader(resp.Header, runID); err != nil {
		resp.Body.Close()
		return nil, brokenError(op, e.address, err)
	}
	return resp, nil
}

// checkStreamHeader returns an error unless a response is a stream of the given run.
func checkStreamHeader(h http.Header, runID string) error {
	if got := h.Get(HeaderRunID); got != runID {
		return errors.Errorf("answer of run %q, asked for run %q", got, runID)
	}
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil || kind != ContentTypeStream {
		return errors.Errorf("content type %q, want %s", h.Get("Content-Type"), ContentTypeStream)
	}
	return nil
}

// Recv implements Stream. After the End it returns io.EOF. An error is final: if ctx ends
// during a call, for example, every later call returns the same error.
func (s *httpStream) Recv(ctx context.Context) (Item, error) {
	if s.failed != nil {
		return Item{}, s.failed
	}
	if s.ended {
		return Item{}, io.EOF
	}
	if ctx.Done() != nil && ctx.Done() != s.parentDone {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	s.idleTimer.Reset(s.idleTimeout)
	item, err := s.nextItem()
	s.idleTimer.Stop()
	if err != nil {
		if cause := context.Cause(s.ctx); cause != nil {
			err = cause
		}
		s.failed = brokenError(s.op, s.address, err)
		return Item{}, s.failed
	}
	s.ended = item.End != nil
	return item, nil
}

// nextItem reads up to the next line that holds data, and decodes it. Other lines, such as
// comments, only restart the idle timer.
func (s *httpStream) nextItem() (Item, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return Item{}, err
		}
		data, found := bytes.CutPrefix(line, []byte("data:"))
		if found {
			return decodeItem(data)
		}
		s.idleTimer.Reset(s.idleTimeout) // a comment shows that the engine is alive
	}
}

// readLine reads one line. It returns an error for a line longer than maxLine; because it
// checks the length only each time the read buffer is full, a line may be longer by up to
// one buffer.
func (s *httpStream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	full := bytes.Clone(line)
	for err == bufio.ErrBufferFull {
		if len(full) > s.maxLine {
			return nil, errors.Errorf("event is longer than %d bytes", s.maxLine)
		}
		line, err = s.lines.ReadSlice('\n')
		full = append(full, line...)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // the stream ended before its End
	}
	return full, err
}

// decodeItem decodes one item. It returns an error unless the item is either a token or an
// end, has a run ID, and has no negative index or count.
func decodeItem(data []byte) (Item, error) {
	var w WireItem
	if err := json.Unmarshal(data, &w); err != nil {
		return Item{}, errors.Wrap(err, "malformed event")
	}
	switch {
	case (w.Token == nil) == (w.End == nil):
		return Item{}, errors.New("event has not exactly one of token and end")
	case w.Token != nil && (w.Token.RunID == "" || w.Token.Index < 0):
		return Item{}, errors.Errorf("token has run_id %q, index %d", w.Token.RunID, w.Token.Index)
	case w.End != nil && (w.End.RunID == "" || w.End.Tokens < 0):
		return Item{}, errors.Errorf("end has run_id %q, tokens %d", w.End.RunID, w.End.Tokens)
	}
	return Item(w), nil
}

// Close implements Stream. It does not cancel the run. After the End it reads the rest of
// the body, for drainTimeout at most, so that the connection can be reused.
func (s *httpStream) Close() {
	s.idleTimer.Stop()
	if s.ended && s.failed == nil {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(context.Canceled) })
		_, _ = io.Copy(io.Discard, io.LimitReader(s.lines, streamBuffer))
		timer.Stop()
	}
	s.cancel(context.Canceled)
	s.body.Close()
}
