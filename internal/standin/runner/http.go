package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 16 << 20

// Handler serves the engine's HTTP API and the admin endpoints.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathRun, r.serveRun)
	mux.HandleFunc("GET "+upstream.PathRuns+"{id}", r.serveResume)
	mux.HandleFunc("DELETE "+upstream.PathRuns+"{id}", r.serveCancel)
	mux.HandleFunc("GET "+upstream.PathLoad, r.serveLoad)
	mux.HandleFunc("GET "+upstream.PathCacheEvents, r.serveCacheEvents)
	mux.HandleFunc("POST "+upstream.PathOrders, r.serveOrder)
	mux.HandleFunc("GET "+upstream.PathState, r.serveState)
	mux.HandleFunc("POST "+upstream.PathPrefill, r.servePrefill)
	mux.HandleFunc("GET "+upstream.PathKV+"{handle}", r.serveKV)
	admin := r.adminHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if isAdmin(q) {
			admin.ServeHTTP(w, q)
			return
		}
		received := r.receive()
		r.waitThawed()
		mux.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), contextKey{}, received)))
	})
}

// incarnation identifies an incarnation by its incarnationDone channel. A request must not have
// an effect on a later incarnation than the one that received it: a process that crashes takes
// its requests with it.
type incarnation chan struct{}

// contextKey is the key of the incarnation in a request's context.
type contextKey struct{}

// incarnationOf returns the incarnation that received a request.
func incarnationOf(q *http.Request) incarnation { return q.Context().Value(contextKey{}).(incarnation) }

// receive returns the current incarnation for a new request. It drops the connection
// while the engine is down.
func (r *Runner) receive() incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.downUntil) {
		panic(http.ErrAbortHandler)
	}
	return r.incarnationDone
}

// abortIfRestarted drops the connection of a request that an earlier incarnation received. It
// requires r.mu, which the caller has to release by a defer, as it panics.
func (r *Runner) abortIfRestarted(received incarnation) {
	if received != incarnation(r.incarnationDone) {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the client has gone
}

// refusalStatus returns the HTTP status of a refusal. Clients evaluate the code in the body instead.
func refusalStatus(c upstream.RefusalCode) int {
	switch c {
	case upstream.RefusedUnknownRun:
		return http.StatusNotFound
	case upstream.RefusedInvalid:
		return http.StatusBadRequest
	case upstream.RefusedRestarted, upstream.RefusedStaleFence, upstream.RefusedBusy:
		return http.StatusConflict
	case upstream.RefusedUnsupported:
		return http.StatusNotImplemented
	}
	return http.StatusServiceUnavailable
}

func writeRefusal(w http.ResponseWriter, f *upstream.Refusal) {
	writeJSON(w, refusalStatus(f.Code), upstream.RefusalBody{Refusal: f})
}

// readJSON decodes a request body into out. If it is invalid, it writes a refusal and
// returns false.
func readJSON(w http.ResponseWriter, q *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxRequestBytes)).Decode(out)
	if err != nil {
		writeRefusal(w, refusal("")(upstream.RefusedInvalid, err.Error()))
		return false
	}
	return true
}

// serveRun starts a run, or attaches to it, and streams its output from the first token on.
func (r *Runner) serveRun(w http.ResponseWriter, q *http.Request) {
	var req upstream.RunRequest
	if !readJSON(w, q, &req) {
		return
	}
	if role := r.State().Role; role == upstream.RolePrefill {
		writeRefusal(w, refusal(req.RunID)(upstream.RefusedWrongRole, "role is prefill"))
		return
	}
	u, f := r.accept(incarnationOf(q), req, false)
	if f != nil {
		writeRefusal(w, f)
		return
	}
	if down, crashes := r.promptCrashes(req.Prompt); crashes {
		go r.Crash(down)
		<-q.Context().Done()
		return
	}
	if r.triggerFault(&r.faults.LoseRunResponses) {
		panic(http.ErrAbortHandler)
	}
	if r.triggerFault(&r.faults.Plain503Runs) {
		http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		return
	}
	r.sendStream(w, q, u, 0)
}

// serveResume streams the output of a run from the requested token on.
func (r *Runner) serveResume(w http.ResponseWriter, q *http.Request) {
	id := q.PathValue("id")
	from, err := strconv.Atoi(q.URL.Query().Get(upstream.QueryFrom))
	if err != nil || from < 0 {
		writeRefusal(w, refusal(id)(upstream.RefusedInvalid, "from is "+strconv.Quote(q.URL.Query().Get(upstream.QueryFrom))))
		return
	}
	r.mu.Lock()
	r.expireFinished(time.Now())
	u := r.runs[id]
	r.mu.Unlock()
	if u == nil {
		writeRefusal(w, refusal(id)(upstream.RefusedUnknownRun, ""))
		return
	}
	r.sendStream(w, q, u, from)
}

func (r *Runner) serveCancel(w http.ResponseWriter, q *http.Request) {
	if f := r.cancel(q.PathValue("id")); f != nil {
		writeRefusal(w, f)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.Load())
}

func (r *Runner) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.State())
}

func (r *Runner) serveCacheEvents(w http.ResponseWriter, q *http.Request) {
	since, err := strconv.ParseUint(q.URL.Query().Get(upstream.QuerySince), 10, 64)
	if err != nil {
		writeRefusal(w, refusal("")(upstream.RefusedInvalid, "since is "+strconv.Quote(q.URL.Query().Get(upstream.QuerySince))))
		return
	}
	writeJSON(w, http.StatusOK, r.CacheEvents(since))
}

// CacheEvents returns the cache events from sequence since on, delayed by
// Config.CacheEventLag.
func (r *Runner) CacheEvents(since uint64) upstream.CacheEvents {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.cache.since(since, time.Now(), r.config.CacheEventLag)
	out.Incarnation = r.incarnation
	return out
}

func (r *Runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o upstream.Order
	if !readJSON(w, q, &o) {
		return
	}
	state, f := r.acceptOrder(incarnationOf(q), o)
	if f != nil {
		writeRefusal(w, f)
		return
	}
	if r.triggerFault(&r.faults.LoseOrderResponses) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, state)
}

// servePrefill computes a prompt and then responds with the handle of its KV cache. The prefill
// goes on if the client disconnects.
func (r *Runner) servePrefill(w http.ResponseWriter, q *http.Request) {
	var req upstream.RunRequest
	if !readJSON(w, q, &req) {
		return
	}
	if role := r.State().Role; role == upstream.RoleDecode {
		writeRefusal(w, refusal(req.RunID)(upstream.RefusedWrongRole, "role is decode"))
		return
	}
	u, f := r.accept(incarnationOf(q), req, true)
	if f != nil {
		writeRefusal(w, f)
		return
	}
	for {
		r.mu.Lock()
		finished, handle, changed, incarnationDone := u.finished, u.handle, u.nextChange(), r.incarnationDone
		r.mu.Unlock()
		if finished && handle == "" {
			panic(http.ErrAbortHandler) // dropped by an order
		}
		if finished {
			w.Header().Set(upstream.HeaderRunID, req.RunID)
			writeJSON(w, http.StatusOK, upstream.PrefillResponse{RunID: req.RunID, Handle: handle})
			return
		}
		select {
		case <-changed:
		case <-incarnationDone:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		}
	}
}
