package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

const (
	// frozenChildEnv is set in the process that TestStoppedProcessGivesNoPlaceByOldList starts.
	frozenChildEnv = "RAGWORT_TEST_FROZEN_CHILD"
	// frozenChildAddress is what precedes the address of that process in its output.
	frozenChildAddress = "frozen child at "
)

// lateFeed is a list of upstreams that is read once. Later calls aren't answered.
type lateFeed struct {
	heldFeed
	listed bool
}

// List implements UpstreamFeed.
func (f *lateFeed) List(ctx context.Context) ([]fleet.Change, uint64, error) {
	if f.listed {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	f.listed = true
	return f.heldFeed.List(ctx)
}

// TestFrozenChild is the process that TestStoppedProcessGivesNoPlaceByOldList starts: an instance with all
// its loops. The platform answers its probes, but tells it of no change.
func TestFrozenChild(t *testing.T) {
	if os.Getenv(frozenChildEnv) == "" {
		return // not started by TestStoppedProcessGivesNoPlaceByOldList
	}
	e, s := newPeerTestEntry(t, "i-1", "z1", standin.New(standin.Config{}))
	e.peers = s
	e.cfg.Upstreams = &lateFeed{heldFeed: heldFeed{watching: make(chan uint64, 1000)}}
	e.cfg.PingStore = func(context.Context) error { return nil }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	e.state.startStallDetection()
	for _, loop := range []func(context.Context){s.run, e.followUpstreams, e.probePlatform, e.tickLoop} {
		e.spawn(func() { loop(ctx) })
	}
	fmt.Println(frozenChildAddress + s.self.Address)
	e.goroutines.Wait()
}

// startFrozenChild starts the process of TestFrozenChild and returns it and its address.
func startFrozenChild(t *testing.T) (child *os.Process, address string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run", "^TestFrozenChild$")
	cmd.Env = append(os.Environ(), frozenChildEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if a, ok := strings.CutPrefix(lines.Text(), frozenChildAddress); ok {
			return cmd.Process, a
		}
	}
	t.Fatalf("the process told no address: %v", lines.Err())
	return nil, ""
}

// stopProcess stops a child process and waits until none of its threads runs. A place request that is sent
// before that may still be handled, and is then answered by the list of that time.
func stopProcess(t *testing.T, child *os.Process) {
	t.Helper()
	if err := child.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(child.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("the process doesn't stop: %v, status %v", err, status)
	}
}

// TestStoppedProcessGivesNoPlaceByOldList guards against places by an old list in the order of events that
// the scheduler chooses: the whole process is stopped for seconds, with a place request in its socket's
// buffer, and more of them come when it goes on. Its probes of the platform are answered at once, its calls
// for changes are not.
func TestStoppedProcessGivesNoPlaceByOldList(t *testing.T) {
	t.Parallel()
	const requests = 20
	child, address := startFrozenChild(t)
	asker := listenTestPeer(t)
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	lastID := uint64(0)
	send := func(m peers.Message) {
		m.Sender = &peers.Peer{Name: "i-2", Zone: "z1", Address: asker.LocalAddr().String()}
		data, err := peers.Encode(m)
		if err == nil {
			_, err = asker.WriteToUDP(data, to)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	ask := func() {
		lastID++
		send(peers.Message{PlaceRequests: []peers.PlaceRequest{{
			ID: lastID, Service: "s", Work: string(place.Serve), StartInUS: frozenTestWait.Microseconds(), LeftUS: 10 * frozenTestWait.Microseconds(),
		}}})
	}
	// usable returns the number of responses with a usable place that arrive until wait has passed without a
	// message, and gives the places back.
	usable := func(wait time.Duration) (n int) {
		for {
			m, ok := readTestMessage(t, asker, wait)
			if !ok {
				return n
			}
			for _, r := range m.PlaceResponses {
				if isUsablePlace(m, r) {
					n++
				}
				send(peers.Message{PlaceRequests: []peers.PlaceRequest{{ID: r.ID, Cancel: true}}})
			}
		}
	}
	eventually(t, "the process gives a place", func() bool {
		ask()
		return usable(frozenTestSilence/10) > 0
	})
	stopProcess(t, child)
	usable(frozenTestSilence) // responses from before
	ask()
	time.Sleep(frozenTime)
	if err := child.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	given := 0
	for range requests {
		ask()
		given += usable(placerTick / 2)
	}
	if given += usable(frozenTestSilence); given > 0 {
		t.Errorf("after %v without running, %d of %d responses are places by the old list", frozenTime, given, requests+1)
	}
}
