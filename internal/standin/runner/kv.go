package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// maxKVAnswer bounds the stand-in's KV bytes.
const maxKVAnswer = 4 << 10

// kvTimeout bounds an import; afterwards the engine computes the prompt itself.
const kvTimeout = 10 * time.Second

// export is the KV cache of a prompt, kept for another engine.
type export struct {
	seed    uint64 // of the prompt
	tokens  int
	expires time.Time
}

// kvBytes is what stands for KV cache on the wire between engines.
type kvBytes struct {
	Seed   uint64 `json:"seed"`
	Tokens int    `json:"tokens"`
}

// keepExport keeps the KV of a finished prefill and gives its handle.
func (r *Runner) keepExport(u *run, now time.Time) string {
	for handle, e := range r.exports {
		if now.After(e.expires) {
			delete(r.exports, handle)
		}
	}
	handle := r.incarnation + "." + strconv.FormatUint(u.order, 10)
	r.exports[handle] = export{seed: u.kvSeed, tokens: u.prompt, expires: now.Add(r.config.KeepFinished)}
	return handle
}

// serveKV answers another engine, as slowly as the KV would travel.
func (r *Runner) serveKV(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	e, ok := r.exports[q.PathValue("handle")]
	r.mu.Unlock()
	if !ok {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	if !r.sleepUntil(time.Now().Add(r.config.seconds(float64(e.tokens) / r.config.Cost.KVTransferRate))) {
		return
	}
	writeJSON(w, http.StatusOK, kvBytes{Seed: e.seed, Tokens: e.tokens})
}

// importKV fetches a run's KV from the engine that computed it. If that fails
// the prompt is computed here: slower, and the answer is the same.
func (r *Runner) importKV(u *run, req upstream.RunRequest, gone chan struct{}) {
	defer r.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), kvTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-stop:
		}
	}()
	kv, err := fetchKV(ctx, req.KVFrom, req.KVHandle)
	r.mu.Lock()
	defer r.mu.Unlock()
	if gone != r.gone {
		return
	}
	if err == nil && kv.Tokens == u.prompt && kv.Seed == u.kvSeed {
		u.prefillLeft = 0
		r.ledger.stats.KVImports++
		r.cache.insert(u.prefixes, time.Now(), &r.faults.DropCacheEvents)
	} else {
		r.ledger.stats.KVImportFailures++
	}
	u.importing = false
	r.nudge()
}

// kvClient talks to other engines.
var kvClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func fetchKV(ctx context.Context, address, handle string) (kvBytes, error) {
	target := address + upstream.PathKV + url.PathEscape(handle)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return kvBytes{}, err
	}
	resp, err := kvClient.Do(req)
	if err != nil {
		return kvBytes{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kvBytes{}, errors.Errorf("status %d", resp.StatusCode)
	}
	var kv kvBytes
	err = json.NewDecoder(io.LimitReader(resp.Body, maxKVAnswer)).Decode(&kv)
	return kv, err
}
