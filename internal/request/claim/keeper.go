package claim

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Defaults of a KeeperConfig.
const (
	DefaultKeep       = time.Hour
	DefaultSendLife   = 15 * time.Second
	DefaultMinGap     = 200 * time.Millisecond
	DefaultMaxWaiting = 1024
	DefaultMaxBytes   = 900 << 10 // below the platform's limit, platform.MaxValueBytes
	DefaultMaxTries   = 6
	DefaultMaxBuckets = 16
)

// KeeperConfig configures a Keeper. Durations and limits that are zero get their
// defaults.
type KeeperConfig struct {
	Name        string        // name of this gateway, stored as the writer of a bucket
	NoncePrefix string        // unique to each start of the process
	Keep        time.Duration // approximate time for which a claim is kept; raised to MinKeep(SendWindow, SendLife) if shorter
	SendWindow  time.Duration // SessionConfig.SendWindow of all gateways
	SendLife    time.Duration // a sent run reaches its runner within this time or not at all
	MinGap      time.Duration // minimum time between the starts of two writes of one bucket; operations in between share the next write
	MaxWaiting  int           // maximum number of unanswered operations per bucket
	MaxBytes    int           // maximum size of a bucket's value, in bytes
	MaxBuckets  int           // maximum number of buckets in memory, at which an idle bucket is evicted for each new one; exceeded while all are busy
	MaxTries    int           // an operation is refused after this many writes that ended in a conflict or with an unknown outcome
}

func (c KeeperConfig) withDefaults() KeeperConfig {
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.SendWindow == 0 {
		c.SendWindow = DefaultSendWindow
	}
	if c.SendLife == 0 {
		c.SendLife = DefaultSendLife
	}
	c.Keep = max(c.Keep, MinKeep(c.SendWindow, c.SendLife))
	if c.MinGap == 0 {
		c.MinGap = DefaultMinGap
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxBuckets == 0 {
		c.MaxBuckets = DefaultMaxBuckets
	}
	if c.MaxTries == 0 {
		c.MaxTries = DefaultMaxTries
	}
	return c
}

// MinKeep returns the shortest keep time for which a claim outlives every send of
// its run: each of its Generations intervals covers the send window and the longest time
// that a sent run can take to arrive.
func MinKeep(sendWindow, sendLife time.Duration) time.Duration {
	return Generations * (sendWindow + sendLife)
}

// KeeperEvent is an input of a Keeper.
type KeeperEvent interface{ keeperEvent() }

// The events of a Keeper.
type (
	// OpRequested is a claim operation. ID identifies it in its Answer.
	OpRequested struct {
		ID      uint64
		Request peer.ClaimRequest
	}
	// BucketRead is the outcome of a ReadBucket. Err is platform.ErrNotFound if the
	// bucket doesn't exist yet.
	BucketRead struct {
		Name   string
		Object platform.Object
		Err    error
	}
	// BucketWritten is the outcome of a WriteBucket.
	BucketWritten struct {
		Name   string
		Object platform.Object
		Err    error
	}
	// WakeElapsed reports that the time of a Wake has come.
	WakeElapsed struct{ Name string }
)

func (OpRequested) keeperEvent()   {}
func (BucketRead) keeperEvent()    {}
func (BucketWritten) keeperEvent() {}
func (WakeElapsed) keeperEvent()   {}

// KeeperAction is an output of a Keeper.
type KeeperAction interface{ keeperAction() }

// The actions of a Keeper.
type (
	// ReadBucket reads the bucket object.
	ReadBucket struct{ Name string }
	// WriteBucket creates the bucket object if Create is set. Otherwise it updates the
	// object on the condition that the stored version is Object.Version.
	WriteBucket struct {
		Name   string
		Create bool
		Object platform.Object
	}
	// Answer is the answer to the OpRequested with the same ID.
	Answer struct {
		ID     uint64
		Answer peer.ClaimResponse
	}
	// Wake requests a WakeElapsed at the given time.
	Wake struct {
		Name string
		At   boottime.Time
	}
)

func (ReadBucket) keeperAction()  {}
func (WriteBucket) keeperAction() {}
func (Answer) keeperAction()      {}
func (Wake) keeperAction()        {}

// pendingOp is a claim operation that has not been answered yet.
type pendingOp struct {
	id         uint64
	request    peer.ClaimRequest
	arrivedSeq uint64             // Keeper.seq on arrival
	tries      int                // writes for it that ended in a conflict or with an unknown outcome
	absent     bool               // a read that started after the arrival found no claim
	written    bool               // a write for it may have taken effect
	changes    bool               // the draft was changed for it
	answer     peer.ClaimResponse // from the last draft that it was applied to
}

// bucketIO is the store call in progress for a bucket.
type bucketIO int

const (
	ioIdle bucketIO = iota
	ioReading
	ioWriting
)

// bucketState is the keeper's copy of one bucket and the operations pending on it.
type bucketState struct {
	name            string
	known           bool          // content and version matched the store at verifiedAt
	exists          bool          // the bucket object exists in the store
	version         uint64        // version of the bucket object, on which the next write is conditional
	content         *content      // nil until the first read succeeds
	storedBytes     int           // size of the stored value
	verifiedAt      boottime.Time // start of the last store call that confirmed content
	verifiedSeq     uint64        // Keeper.seq of that call
	generationSince boottime.Time // when this keeper first saw the current generation
	io              bucketIO
	ioStartedAt     boottime.Time // start of the last store call
	ioSeq           uint64        // Keeper.seq of that call
	writing         *draft        // draft of the write in progress
	writingBytes    int           // encoded size of writing
	waiting         []*pendingOp  // operations that are not part of the write in progress
	inflight        []*pendingOp  // operations of the write in progress
	nextWriteAt     boottime.Time // when MinGap allows the next write
	wakePending     bool          // a Wake was requested and its WakeElapsed has not come
}

// Keeper reads and writes claim buckets for the sessions of all gateways. Several
// keepers may serve the same bucket at once, since every write is conditional on the
// version that its operations were applied to. It is not safe for concurrent use.
type Keeper struct {
	cfg     KeeperConfig
	buckets map[string]*bucketState
	writes  uint64 // writes started since the keeper was created; the last part of the nonce
	seq     uint64 // orders arrivals of operations and starts of store calls, whose times may be equal
}

// NewKeeper returns a keeper without any buckets in memory.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg.withDefaults(), buckets: make(map[string]*bucketState)}
}

// Step processes one event and returns the actions to perform.
func (k *Keeper) Step(now boottime.Time, e KeeperEvent) []KeeperAction {
	switch e := e.(type) {
	case OpRequested:
		return k.handleOp(now, e)
	case BucketRead:
		if b := k.buckets[e.Name]; b != nil && b.io == ioReading {
			return k.handleRead(now, b, e)
		}
	case BucketWritten:
		if b := k.buckets[e.Name]; b != nil && b.io == ioWriting {
			return k.handleWritten(now, b, e)
		}
	case WakeElapsed:
		if b := k.buckets[e.Name]; b != nil {
			b.wakePending = false
			return k.process(now, b)
		}
	}
	return nil
}

func (k *Keeper) handleOp(now boottime.Time, e OpRequested) []KeeperAction {
	if len(e.Request.KeyHash) != hashBytes || len(e.Request.BodyHash) != hashBytes || e.Request.RunID == "" {
		return []KeeperAction{Answer{ID: e.ID, Answer: peer.ClaimResponse{Kind: string(errkind.InvalidRequest)}}}
	}
	b := k.bucket(BucketOf(Key(e.Request.KeyHash)))
	if len(b.waiting)+len(b.inflight) >= k.cfg.MaxWaiting {
		return []KeeperAction{Answer{ID: e.ID, Answer: peer.ClaimResponse{Kind: string(errkind.ClaimUnavailable)}}}
	}
	k.seq++
	b.waiting = append(b.waiting, &pendingOp{id: e.ID, request: e.Request, arrivedSeq: k.seq})
	return k.process(now, b)
}

func (k *Keeper) bucket(name string) *bucketState {
	b := k.buckets[name]
	if b == nil {
		k.evictIdle()
		b = &bucketState{name: name}
		k.buckets[name] = b
	}
	return b
}

// evictIdle evicts the bucket that was verified longest ago if the limit on buckets
// is reached. Buckets with pending operations, store calls or wake-ups are never
// evicted.
func (k *Keeper) evictIdle() {
	if len(k.buckets) < k.cfg.MaxBuckets {
		return
	}
	var victim *bucketState
	for _, b := range k.buckets {
		busy := b.io != ioIdle || b.wakePending || len(b.waiting) > 0
		if !busy && (victim == nil || b.verifiedAt < victim.verifiedAt || b.verifiedAt == victim.verifiedAt && b.name < victim.name) {
			victim = b
		}
	}
	if victim != nil {
		delete(k.buckets, victim.name)
	}
}

// process answers the waiting operations that the keeper's copy can answer, and
// starts a read or a write for the others. The answer to an operation that is applied
// after a change depends on that change, so the operation joins the write's batch and is
// answered after the write. process does nothing while a store call or a wake-up is
// pending.
func (k *Keeper) process(now boottime.Time, b *bucketState) []KeeperAction {
	if b.io != ioIdle || b.wakePending || len(b.waiting) == 0 {
		return nil
	}
	if !b.known {
		return k.startRead(now, b)
	}
	candidate := b.content.draft()
	if now.Sub(b.generationSince) >= k.cfg.Keep/Generations {
		candidate.advanceGeneration()
	}
	var out []KeeperAction
	var batch, needRead []*pendingOp
	for _, p := range b.waiting {
		p.answer, p.changes = candidate.apply(p.request)
		switch {
		case p.changes || len(batch) > 0:
			batch = append(batch, p)
		case k.canAnswerFromCopy(now, b, p):
			out = append(out, Answer{ID: p.id, Answer: p.answer})
		default:
			needRead = append(needRead, p)
		}
	}
	b.waiting = append(needRead, batch...)
	switch {
	case len(b.waiting) == 0:
		return out
	case len(batch) == 0:
		return append(out, k.startRead(now, b)...)
	case now.Before(b.nextWriteAt):
		return append(out, k.scheduleWake(b)...)
	}
	b.waiting = needRead
	return append(out, k.startWrite(now, b, candidate, batch)...)
}

// canAnswerFromCopy reports whether an operation that needs no write may be answered
// from the keeper's copy. It may if the store call that confirmed the copy started after
// the operation arrived. It also may if the operation is granted a shared claim, which
// never moves, and the copy is less than one generation interval old.
func (k *Keeper) canAnswerFromCopy(now boottime.Time, b *bucketState, p *pendingOp) bool {
	if b.verifiedSeq > p.arrivedSeq {
		return true
	}
	shared := p.answer.Granted && p.answer.Attempt == attemptShared
	return shared && now.Sub(b.verifiedAt) < k.cfg.Keep/Generations
}

// scheduleWake requests a WakeElapsed at the time when MinGap allows the next write.
func (k *Keeper) scheduleWake(b *bucketState) []KeeperAction {
	if b.wakePending {
		return nil
	}
	b.wakePending = true
	return []KeeperAction{Wake{Name: b.name, At: b.nextWriteAt}}
}

func (k *Keeper) startRead(now boottime.Time, b *bucketState) []KeeperAction {
	b.io = ioReading
	b.ioStartedAt = now
	k.seq++
	b.ioSeq = k.seq
	return []KeeperAction{ReadBucket{Name: b.name}}
}

// startWrite starts a conditional write of the candidate draft, to which the operations
// of the batch were applied.
func (k *Keeper) startWrite(now boottime.Time, b *bucketState, candidate *draft, batch []*pendingOp) []KeeperAction {
	spec, err := candidate.encode()
	if err != nil || len(spec) > k.cfg.MaxBytes {
		return k.refuseCreates(now, b, batch)
	}
	b.io = ioWriting
	b.ioStartedAt = now
	k.seq++
	b.ioSeq = k.seq
	b.writing = candidate
	b.writingBytes = len(spec)
	b.inflight = batch
	b.nextWriteAt = now.Add(k.cfg.MinGap)
	k.writes++
	o := platform.Object{
		Kind:    resource.KindClaimBucket,
		Name:    b.name,
		Version: b.version,
		Writer:  k.cfg.Name,
		Nonce:   k.cfg.NoncePrefix + "-" + strconv.FormatUint(k.writes, 10),
		Spec:    spec,
	}
	return []KeeperAction{WriteBucket{Name: b.name, Create: !b.exists, Object: o}}
}

// refuseCreates refuses the creates of a batch that does not fit its bucket and
// processes the other operations again. If there are no creates, it refuses the
// whole batch.
func (k *Keeper) refuseCreates(now boottime.Time, b *bucketState, batch []*pendingOp) []KeeperAction {
	var creates, others []*pendingOp
	for _, p := range batch {
		if p.request.Op == peer.ClaimCreate {
			creates = append(creates, p)
		} else {
			others = append(others, p)
		}
	}
	if len(creates) == 0 {
		return k.refuseAll(b, &batch)
	}
	b.waiting = append(others, b.waiting...)
	out := k.refuseAll(b, &creates)
	return append(out, k.process(now, b)...)
}

func (k *Keeper) handleRead(now boottime.Time, b *bucketState, e BucketRead) []KeeperAction {
	b.io = ioIdle
	next, err := readContent(e)
	if err != nil {
		return k.refuseAll(b, &b.waiting)
	}
	if !b.known || b.content.generation != next.generation {
		b.generationSince = now
	}
	b.known = true
	b.exists = e.Err == nil
	b.version = e.Object.Version
	b.content = next
	b.storedBytes = len(e.Object.Spec)
	b.verifiedAt = b.ioStartedAt
	b.verifiedSeq = b.ioSeq
	for _, p := range b.waiting {
		if _, ok := next.claims[Key(p.request.KeyHash)]; !ok && b.ioSeq > p.arrivedSeq {
			p.absent = true
		}
	}
	return k.process(now, b)
}

// readContent returns the content of a bucket that was read; a bucket that doesn't exist
// is empty.
func readContent(e BucketRead) (*content, error) {
	if errors.Is(e.Err, platform.ErrNotFound) {
		return newContent(), nil
	}
	if e.Err != nil {
		return nil, e.Err
	}
	return decode(e.Object.Spec)
}

// handleWritten handles the outcome of a write. The operations are retried after a
// conflict (another keeper wrote or deleted the object) and after an unknown outcome.
// They are refused if the store was unavailable or rejected the value.
func (k *Keeper) handleWritten(now boottime.Time, b *bucketState, e BucketWritten) []KeeperAction {
	b.io = ioIdle
	switch {
	case e.Err == nil:
		return k.writeSucceeded(now, b, e)
	case errors.Is(e.Err, platform.ErrConflict), errors.Is(e.Err, platform.ErrNotFound):
		return k.retryBatch(now, b, false)
	case errors.Is(e.Err, platform.ErrUnavailable), errors.Is(e.Err, platform.ErrTooLarge), errors.Is(e.Err, platform.ErrInvalid):
		out := k.refuseAll(b, &b.inflight)
		return append(out, k.process(now, b)...)
	}
	return k.retryBatch(now, b, true)
}

func (k *Keeper) writeSucceeded(now boottime.Time, b *bucketState, e BucketWritten) []KeeperAction {
	if b.writing.generation != b.content.generation {
		b.generationSince = now
	}
	b.exists = true
	b.version = e.Object.Version
	b.content = b.writing.commit()
	b.writing = nil
	b.storedBytes = b.writingBytes
	b.verifiedAt = b.ioStartedAt
	b.verifiedSeq = b.ioSeq
	var out []KeeperAction
	for _, p := range b.inflight {
		out = append(out, Answer{ID: p.id, Answer: p.answer})
	}
	b.inflight = nil
	return append(out, k.process(now, b)...)
}

// retryBatch reads the bucket again and reapplies the operations of a failed write.
// unknown is set if the write may have taken effect. Operations that have reached
// MaxTries are refused.
func (k *Keeper) retryBatch(now boottime.Time, b *bucketState, unknown bool) []KeeperAction {
	b.known = false
	var out []KeeperAction
	var retries []*pendingOp
	for _, p := range b.inflight {
		p.tries++
		p.written = p.written || unknown && p.changes
		if p.tries >= k.cfg.MaxTries {
			out = append(out, k.refusal(b, p))
			continue
		}
		retries = append(retries, p)
	}
	b.inflight = nil
	b.waiting = append(retries, b.waiting...)
	return append(out, k.process(now, b)...)
}

// refuseAll refuses the operations of a list and empties the list.
func (k *Keeper) refuseAll(b *bucketState, list *[]*pendingOp) []KeeperAction {
	out := make([]KeeperAction, 0, len(*list))
	for _, p := range *list {
		out = append(out, k.refusal(b, p))
	}
	*list = nil
	return out
}

// refusal returns a claim_unavailable answer that includes what is known: whether the
// key was seen without a claim, whether a write may still take effect, and the claim
// in the keeper's copy, if any. That copy may be outdated but suffices to resume a
// run.
func (k *Keeper) refusal(b *bucketState, p *pendingOp) KeeperAction {
	a := peer.ClaimResponse{}
	if b.content != nil {
		if v, ok := b.content.claims[Key(p.request.KeyHash)]; ok && v.Body == Hash(p.request.BodyHash) {
			a = answerOf(v, false)
		}
	}
	a.Kind = string(errkind.ClaimUnavailable)
	a.Absent = p.absent
	a.Written = p.written
	return Answer{ID: p.id, Answer: a}
}

// Stats describes the state of a Keeper.
type Stats struct {
	Buckets int    // buckets in memory
	Claims  int    // claims in these buckets
	Bytes   int    // size of their stored values, in bytes
	Waiting int    // unanswered operations
	Writes  uint64 // started since the keeper was created
}

// Stats returns the keeper's current statistics.
func (k *Keeper) Stats() Stats {
	s := Stats{Buckets: len(k.buckets), Writes: k.writes}
	for _, b := range k.buckets {
		s.Bytes += b.storedBytes
		s.Waiting += len(b.waiting) + len(b.inflight)
		if b.content != nil {
			s.Claims += len(b.content.claims)
		}
	}
	return s
}
