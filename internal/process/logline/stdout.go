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
	// bufferedLines is how many lines may wait for a slow reader of standard output.
	// At some hundred bytes a line that is about a megabyte.
	bufferedLines = 4096
	// writeBuffer is how many bytes are written at once when many lines wait.
	writeBuffer = 32 << 10
	// closeTimeout bounds the writing of what waits at the end of the process.
	closeTimeout = time.Second
)

// writer passes lines on to a slower writer without ever blocking. Lines that
// don't fit are counted and left out.
type writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// newWriter begins to write lines to out.
func newWriter(out io.Writer, capacity int) *writer {
	w := &writer{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer for one line. The bytes are copied.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes what waits, many lines at a time.
func (w *writer) run(out io.Writer) {
	defer close(w.done)
	buffered := bufio.NewWriterSize(out, writeBuffer)
	for line := range w.lines {
		if line == nil {
			break
		}
		w.put(buffered, line)
		if len(w.lines) == 0 {
			w.tellDropped(buffered)
			_ = buffered.Flush() // standard output is gone: nowhere is left to say so
		}
	}
	w.tellDropped(buffered)
	_ = buffered.Flush()
}

func (w *writer) put(out *bufio.Writer, line []byte) {
	_, _ = out.Write(line) // an error shows in Flush, which has nowhere to tell it
}

// tellDropped writes how many lines were left out since it last did.
func (w *writer) tellDropped(out *bufio.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		w.put(out, []byte("\"log lines left out\" count="+strconv.FormatUint(n, 10)+"\n"))
	}
}

// close writes what waits, within a bound.
func (w *writer) close() {
	w.once.Do(func() {
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

// ToStandardOutput sends every line to standard output through a bounded buffer, so
// that no request ever waits for a reader of the log. Call the function returned
// before the process ends, so that the last lines are written.
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
	w := newWriter(os.Stdout, bufferedLines)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.close()
	}, nil
}
