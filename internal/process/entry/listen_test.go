package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// occupyPort returns a port that is in use.
func occupyPort(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestProcessWaitsForPortInUse guards against a process that ends at its start, or when it comes back at its address, as
// one of its ports is in use for a moment.
func TestProcessWaitsForPortInUse(t *testing.T) {
	for _, field := range []string{"callers", "ready", "operators"} {
		occupied := occupyPort(t)
		s := settings.EntryListen{}
		switch field {
		case "callers":
			s.Callers = occupied.Addr().String()
		case "ready":
			s.Ready = occupied.Addr().String()
		case "operators":
			s.Operators = occupied.Addr().String()
		}
		time.AfterFunc(500*time.Millisecond, func() { _ = occupied.Close() })
		var ports listeners
		if err := ports.openWhenFree(t.Context(), s); err != nil {
			t.Errorf("listen.%s: %v", field, err)
			continue
		}
		ports.close(s)
	}
}

// TestProcessDoesNotWaitForPortInVain checks that a process that is stopped while it waits for a port ends, and that one
// whose address can't be had at all doesn't wait.
func TestProcessDoesNotWaitForPortInVain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var ports listeners
	start := time.Now()
	if err := ports.openWhenFree(ctx, settings.EntryListen{Callers: occupyPort(t).Addr().String()}); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("error %v, want that the port is in use", err)
	}
	if err := ports.openWhenFree(t.Context(), settings.EntryListen{Ready: "192.0.2.1:80"}); err == nil {
		t.Error("no error for an address of another machine")
	}
	if took := time.Since(start); took > portWait {
		t.Errorf("it took %v", took)
	}
}
