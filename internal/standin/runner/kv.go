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

// maxKVResponseBytes is the maximum size of an encoded kvPayload.
const maxKVResponseBytes = 4 << 10

// kvImportTimeout limits an import. If it expires, the engine computes the prompt itself.
const kvImportTimeout = 10 * time.Second

// exportedKV represents the KV cache of a prompt that another engine may fetch.
type exportedKV struct {
	seed    uint64 // run.kvSeed of the prompt
	tokens  int
	expires time.Time
}

// kvPayload is what an engine sends instead of the KV cache of a prompt: values by which the
// receiver can tell whether it got the right one.
type kvPayload struct {
	Seed   uint64 `json:"seed"`
	Tokens int    `json:"tokens"`
}

// storeExport keeps the KV cache of a finished prefill for Config.KeepFinished and returns its
// handle. It also removes expired ones. It requires r.mu.
func (r *Runner) storeExport(u *run, now time.Time) string {
	for handle, e := range r.exports {
		if now.After(e.expires) {
			delete(r.exports, handle)
		}
	}
	handle := r.incarnation + "." + strconv.FormatUint(u.arrival, 10)
	r.exports[handle] = exportedKV{seed: u.kvSeed, tokens: u.promptTokens, expires: now.Add(r.config.KeepFinished)}
	return handle
}

// serveKV sends a KV cache to another engine, after the time that the transfer takes.
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
	writeJSON(w, http.StatusOK, kvPayload{Seed: e.seed, Tokens: e.tokens})
}

// importKV fetches a run's KV cache from the engine that computed it, and lets the run leave the
// queue. If the fetch fails, this engine computes the prompt, which takes longer and results in
// the same output. incarnationDone is that of the incarnation that accepted the run.
func (r *Runner) importKV(u *run, req upstream.RunRequest, incarnationDone chan struct{}) {
	defer r.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), kvImportTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-incarnationDone:
			cancel()
		case <-stop:
		}
	}()
	kv, err := fetchKV(ctx, req.KVFrom, req.KVHandle)
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnationDone != r.incarnationDone {
		return
	}
	if err == nil && kv.Tokens == u.promptTokens && kv.Seed == u.kvSeed {
		u.prefillLeft = 0
		r.ledger.stats.KVImports++
		r.cache.insert(u.prefixes, time.Now(), &r.faults.DropCacheEvents)
	} else {
		r.ledger.stats.KVImportFailures++
	}
	u.importing = false
	r.wakeRunSteps()
}

// kvClient fetches KV caches from other engines.
var kvClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// fetchKV fetches the KV cache with a handle from the engine at a base URL.
func fetchKV(ctx context.Context, address, handle string) (kvPayload, error) {
	target := address + upstream.PathKV + url.PathEscape(handle)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return kvPayload{}, err
	}
	resp, err := kvClient.Do(req)
	if err != nil {
		return kvPayload{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kvPayload{}, errors.Errorf("status %d", resp.StatusCode)
	}
	var kv kvPayload
	err = json.NewDecoder(io.LimitReader(resp.Body, maxKVResponseBytes)).Decode(&kv)
	return kv, err
}
