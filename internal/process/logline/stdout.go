package logline

import (
	"bufio"
	"flag"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxBufferedLines limits the lines that wait for a slow reader of standard output. If
	// the lines have a few hundred bytes, a full buffer takes about a megabyte.
	maxBufferedLines = 4096
	// writeBufferBytes is the size up to which waiting lines are combined to one write.
	writeBufferBytes = 32 << 10
	// closeTimeout limits how long the buffered lines may take to be written at exit.
	closeTimeout = time.Second
)

// asyncWriter is an io.Writer that never blocks. It buffers lines, which a goroutine
// writes to another writer that may be slow. Lines that do not fit into the buffer are
// counted and dropped.
type asyncWriter struct {
	lines     chan []byte   // buffered lines; nil as the last one ends run
	dropped   atomic.Uint64 // lines dropped since the last reportDropped
	done      chan struct{} // closed when run has ended
	closeOnce sync.Once
}

// newAsyncWriter returns a writer to out that buffers up to capacity lines. It starts a
// goroutine, which close ends.
func newAsyncWriter(out io.Writer, capacity int) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. Each call must pass one line, which is copied.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the buffered lines to out until close is called. Whenever no line waits, it
// reports dropped lines and flushes its write buffer.
func (w *asyncWriter) run(out io.Writer) {
	defer close(w.done)
	buffered := bufio.NewWriterSize(out, writeBufferBytes)
	for line := range w.lines {
		if line == nil {
			break
		}
		w.writeLine(buffered, line)
		if len(w.lines) == 0 {
			w.reportDropped(buffered)
			_ = buffered.Flush() // an error of standard output cannot be logged anywhere
		}
	}
	w.reportDropped(buffered)
	_ = buffered.Flush()
}

// writeLine writes a line to the write buffer.
func (w *asyncWriter) writeLine(out *bufio.Writer, line []byte) {
	_, _ = out.Write(line) // Flush returns the same error
}

// reportDropped writes a line with the number of lines that were dropped since the last
// call, if there are any.
func (w *asyncWriter) reportDropped(out *bufio.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(out, []byte("\"log lines left out\" count="+strconv.FormatUint(n, 10)+"\n"))
	}
}

// close waits until the buffered lines are written, for closeTimeout at most. Calls after
// the first one do nothing.
func (w *asyncWriter) close() {
	w.closeOnce.Do(func() {
		timeout := time.After(closeTimeout)
		select {
		case w.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}

// ToStandardOutput sends the log to standard output through a bounded buffer, so that
// requests never wait for a reader of the log. Lines that do not fit into the buffer are
// counted and dropped. The caller must call flush before the process exits, to write the
// buffered lines. It returns an error if klog does not know one of the flags.
func ToStandardOutput() (flush func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr":     "false",
		"stderrthreshold": "FATAL",
		"one_output":      "true",
	} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	w := newAsyncWriter(os.Stdout, maxBufferedLines)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.close()
	}, nil
}
