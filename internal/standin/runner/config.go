// Package runner is a stand-in for a model engine. It speaks the same HTTP form
// as the engines, batches continuously by a small cost model in real time, and
// has faults that can be switched while it runs. It generates no language: the
// text of an answer is a function of the request (see Answer), so that a test
// can check every byte of it.
//
// A crash keeps the ledger of executions and orders: tests count by it, and it is
// not part of the engine.
package runner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Cost is the cost model, in real seconds before Config.Speed is applied.
type Cost struct {
	PrefillRate    float64       // prompt tokens a second
	StreamRate     float64       // output tokens a second of a lone stream
	DecodeRate     float64       // output tokens a second of a full batch
	MaxBatch       int           // streams in one batch
	KVTokens       int           // KV cache memory
	RoleChange     time.Duration // away for a role change
	LoadModel      time.Duration // away for loading or unloading a model
	LoadAdapter    time.Duration // busy, but not away
	KVTransferRate float64       // tokens of KV cache a second between engines
}

// DefaultCost is a mid-sized engine.
var DefaultCost = Cost{
	PrefillRate:    8000,
	StreamRate:     60,
	DecodeRate:     1200,
	MaxBatch:       32,
	KVTokens:       200_000,
	RoleChange:     5 * time.Second,
	LoadModel:      10 * time.Second,
	LoadAdapter:    time.Second,
	KVTransferRate: 100_000,
}

// Config describes one stand-in.
type Config struct {
	Name             string
	Role             upstream.Role     // at start and after a crash; default both
	Loaded           []upstream.Loaded // at start and after a crash
	CanLoad          []string          // models and adapters that loads succeed for; empty: all
	ChecksFencing    bool              // refuses an order with an old fencing number
	ForgetsFence     bool              // a crash resets the fencing number seen
	DeduplicatesRuns bool              // a second run of the same id attaches to the first, and none starts twice in one incarnation
	Sampling         bool              // the text differs between runners, as with random sampling
	Cost             Cost              // zero: DefaultCost
	Speed            float64           // all costs run this many times faster; default 1
	MaxQueue         int               // requests waiting; default 1000
	ReportLag        time.Duration     // load reports show the state this long ago
	CacheEventLag    time.Duration     // cache events come this late
	CacheBlocks      int               // prefix blocks kept; default half of the KV memory
	KeepFinished     time.Duration     // finished runs and exported KV can be asked for this long; default 1 min
	Heartbeat        time.Duration     // a silent stream carries a comment this often; default 1 s
}

const (
	blockTokens     = 64 // length of one prefix block, as the gateways count it
	chunkTokens     = 512
	defaultMaxQueue = 1000
	maxFinished     = 20_000
)

func (c Config) withDefaults() Config {
	if c.Role == "" {
		c.Role = upstream.RoleBoth
	}
	if c.Cost == (Cost{}) {
		c.Cost = DefaultCost
	}
	if c.Speed == 0 {
		c.Speed = 1
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = c.Cost.KVTokens / blockTokens / 2
	}
	if c.KeepFinished == 0 {
		c.KeepFinished = time.Minute
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = time.Second
	}
	return c
}

// validate names the first field that is out of range.
func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.New("Name is empty")
	case !validRole(c.Role):
		return errors.Errorf("Role is %q, want prefill, decode or both", c.Role)
	case c.Speed < 0:
		return errors.Errorf("Speed is %g, want more than 0", c.Speed)
	case c.Cost.PrefillRate <= 0 || c.Cost.StreamRate <= 0 || c.Cost.DecodeRate <= 0 || c.Cost.KVTransferRate <= 0:
		return errors.Errorf("Cost is %+v, want rates of more than 0", c.Cost)
	case c.Cost.MaxBatch <= 0 || c.Cost.KVTokens <= 0:
		return errors.Errorf("Cost is %+v, want a batch and KV memory of more than 0", c.Cost)
	}
	return nil
}

func validRole(r upstream.Role) bool {
	return r == upstream.RolePrefill || r == upstream.RoleDecode || r == upstream.RoleBoth
}

// scaled gives the real duration of a modelled one.
func (c Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speed)
}

// seconds gives the real duration of modelled seconds.
func (c Config) seconds(s float64) time.Duration {
	return time.Duration(s / c.Speed * float64(time.Second))
}

// decodeStep gives the modelled seconds of one decode step of a batch: linear in
// the batch, from the lone stream's rate to the full batch's rate.
func (c Cost) decodeStep(batch int) float64 {
	if batch == 0 {
		return 0
	}
	lone := 1 / c.StreamRate
	full := float64(c.MaxBatch) / c.DecodeRate
	if c.MaxBatch == 1 || full < lone {
		return lone
	}
	return lone + (full-lone)*float64(batch-1)/float64(c.MaxBatch-1)
}
