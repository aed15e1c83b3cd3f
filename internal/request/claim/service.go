package claim

import (
	"context"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// DefaultStoreTimeout is the default timeout of one call of a KeeperService to the
// store.
const DefaultStoreTimeout = 2 * time.Second

// KeeperService drives a Keeper: it performs the keeper's reads and writes at the
// store and delivers its answers. It is safe for concurrent use.
type KeeperService struct {
	store   platform.Store
	timeout time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup // the goroutines of store calls and timers

	mu      sync.Mutex // protects the fields below
	keeper  *Keeper
	nextID  uint64                              // ID of the last OpRequested
	replies map[uint64]func(peer.ClaimResponse) // of unanswered operations, by the ID of their OpRequested
	closed  bool
}

// NewKeeperService returns a running service. A zero storeTimeout means
// DefaultStoreTimeout.
func NewKeeperService(cfg KeeperConfig, store platform.Store, storeTimeout time.Duration) *KeeperService {
	if storeTimeout == 0 {
		storeTimeout = DefaultStoreTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &KeeperService{
		store:   store,
		timeout: storeTimeout,
		ctx:     ctx,
		cancel:  cancel,
		keeper:  NewKeeper(cfg),
		replies: make(map[uint64]func(peer.ClaimResponse)),
	}
}

// Submit passes a claim operation to the keeper and returns without waiting for its
// answer. reply is called exactly once, on the caller's goroutine or on another one,
// and must not block.
func (s *KeeperService) Submit(request peer.ClaimRequest, reply func(peer.ClaimResponse)) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		reply(peer.ClaimResponse{Kind: string(errkind.ClaimUnavailable)})
		return
	}
	s.nextID++
	s.replies[s.nextID] = reply
	s.performAndUnlock(s.keeper.Step(boottime.Now(), OpRequested{ID: s.nextID, Request: request}))
}

// step feeds the keeper an event from a finished store call or an expired timer.
func (s *KeeperService) step(e KeeperEvent) {
	s.mu.Lock()
	s.performAndUnlock(s.keeper.Step(boottime.Now(), e))
}

// performAndUnlock performs the keeper's actions. It must be called with mu held and
// releases mu before it calls any reply.
func (s *KeeperService) performAndUnlock(actions []KeeperAction) {
	var answers []func()
	for _, a := range actions {
		switch a := a.(type) {
		case Answer:
			reply := s.replies[a.ID]
			delete(s.replies, a.ID)
			answers = append(answers, func() { reply(a.Answer) })
		case ReadBucket:
			s.goCall(func() { s.read(a) })
		case WriteBucket:
			s.goCall(func() { s.write(a) })
		case Wake:
			s.goCall(func() { s.wake(a) })
		}
	}
	s.mu.Unlock()
	for _, f := range answers {
		f()
	}
}

// goCall runs a store call or timer in a new goroutine unless the service is closed.
// It must be called with mu held.
func (s *KeeperService) goCall(call func()) {
	if s.closed {
		return
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		call()
	}()
}

func (s *KeeperService) read(a ReadBucket) {
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	o, err := s.store.Get(ctx, resource.KindClaimBucket, a.Name)
	s.step(BucketRead{Name: a.Name, Object: o, Err: err})
}

func (s *KeeperService) write(a WriteBucket) {
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	write := s.store.Update
	if a.Create {
		write = s.store.Create
	}
	o, err := write(ctx, a.Object)
	s.step(BucketWritten{Name: a.Name, Object: o, Err: err})
}

func (s *KeeperService) wake(a Wake) {
	t := time.NewTimer(a.At.Sub(boottime.Now()))
	defer t.Stop()
	select {
	case <-t.C:
		s.step(WakeElapsed{Name: a.Name})
	case <-s.ctx.Done():
	}
}

// Stats returns the keeper's statistics.
func (s *KeeperService) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Stats()
}

// Close waits until all pending operations are answered, for at most the duration
// wait, and then stops the service. Operations that are still pending are answered with
// claim_unavailable, and with Written set because a write may still take effect.
func (s *KeeperService) Close(wait time.Duration) {
	deadline := time.Now().Add(wait)
	for s.pendingReplies() > 0 && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.calls.Wait()
	s.mu.Lock()
	unanswered := s.replies
	s.replies = make(map[uint64]func(peer.ClaimResponse))
	s.mu.Unlock()
	for _, reply := range unanswered {
		reply(peer.ClaimResponse{Kind: string(errkind.ClaimUnavailable), Written: true})
	}
}

// closePollInterval is how often Close checks for pending operations.
const closePollInterval = 5 * time.Millisecond

func (s *KeeperService) pendingReplies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.replies)
}
