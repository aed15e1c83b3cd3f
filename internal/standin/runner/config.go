// Package runner is a stand-in for a model engine. It has the engines' HTTP API,
// simulates continuous batching in real time with a small cost model, and supports
// fault injection while it runs. It runs no model: the output text is a function of
// the request (see Answer), so that a test can check every byte of it.
//
// The counts of executions and the log of orders survive a crash: they are not part of the
// simulated engine, but records for tests.
package runner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Cost is the cost model of an engine, before Config.Speed is applied.
type Cost struct {
	PrefillRate    float64       // prompt tokens per second
	StreamRate     float64       // output tokens per second of a single stream
	DecodeRate     float64       // output tokens per second of a full batch
	MaxBatch       int           // streams in one batch
	KVTokens       int           // size of the KV cache, in tokens
	RoleChange     time.Duration // duration of a role change; the engine is unavailable meanwhile
	LoadModel      time.Duration // duration of loading or unloading a model; the engine is unavailable meanwhile
	LoadAdapter    time.Duration // duration of loading or unloading an adapter; runs go on meanwhile
	KVTransferRate float64       // tokens of KV cache per second between engines
}

// DefaultCost is the cost model of a mid-sized engine.
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

// Config configures one stand-in.
type Config struct {
	Name              string
	Role              upstream.Role     // at start and after a crash; default both
	Loaded            []upstream.Loaded // at start and after a crash
	CanLoad           []string          // models and adapters that can be loaded; empty: all
	ChecksFencing     bool              // refuses an order with a lower fencing number than the highest seen
	LosesFenceOnCrash bool              // a crash resets the highest fencing number seen; otherwise it survives
	DeduplicatesRuns  bool              // a second run of the same id attaches to the first; no id starts twice in one incarnation
	Sampling          bool              // the text differs between runners, as with random sampling
	Cost              Cost              // zero: DefaultCost
	Speed             float64           // factor by which the cost model runs faster than real time; default 1
	MaxQueue          int               // maximum number of waiting requests; default 1000
	ReportLag         time.Duration     // age of the state in load reports
	CacheEventLag     time.Duration     // delay of cache events
	CacheBlocks       int               // size of the prefix cache, in blocks; default as many as half of the KV memory holds
	KeepFinished      time.Duration     // how long finished runs and exported KV are kept; default 1 min
	Heartbeat         time.Duration     // interval of comments on a stream without tokens; default 1 s
}

const (
	blockTokens     = 64  // length of one prefix block; gateways use the same length
	chunkTokens     = 512 // maximum number of prompt tokens in one step
	defaultMaxQueue = 1000
	maxFinished     = 20_000 // number of finished runs kept, regardless of Config.KeepFinished
)

// withDefaults returns c with defaults for zero fields.
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

// validate returns an error that names the first field that is out of range.
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

// scaled converts a duration that was computed with Cost to the real duration at Speed.
func (c Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speed)
}

// seconds converts a number of seconds that was computed with Cost to the real duration: at
// Speed 2 it takes half the time.
func (c Config) seconds(s float64) time.Duration {
	return time.Duration(s / c.Speed * float64(time.Second))
}

// decodeStep returns the duration of one decode step in seconds, before Config.Speed is
// applied. It grows linearly with the batch size, from the duration that follows from the rate
// of a single stream to the one that follows from the rate of a full batch. It is never shorter
// than that of a single stream.
func (c Cost) decodeStep(batch int) float64 {
	if batch == 0 {
		return 0
	}
	single := 1 / c.StreamRate
	full := float64(c.MaxBatch) / c.DecodeRate
	if c.MaxBatch == 1 || full < single {
		return single
	}
	return single + (full-single)*float64(batch-1)/float64(c.MaxBatch-1)
}
