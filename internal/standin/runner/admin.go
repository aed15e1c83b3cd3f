package runner

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// adminPrefix is the path prefix of the admin endpoints, which also respond while the
// engine is frozen or down.
const adminPrefix = "/admin/"

func isAdmin(q *http.Request) bool { return strings.HasPrefix(q.URL.Path, adminPrefix) }

// CrashRequest is the body of POST /admin/crash.
type CrashRequest struct {
	DownMS int `json:"down_ms"` // time until the engine listens again
}

// LeavingRequest is the body of POST /admin/leaving.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

func (r *Runner) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", get(r.Faults))
	mux.HandleFunc("PUT /admin/faults", put(r.SetFaults))
	mux.HandleFunc("POST /admin/crash", put(func(c CrashRequest) {
		// The delay is for this response to be sent before the crash, which cuts its connection, too.
		time.AfterFunc(time.Millisecond, func() { r.Crash(time.Duration(c.DownMS) * time.Millisecond) })
	}))
	mux.HandleFunc("POST /admin/freeze", put(func(struct{}) { r.Freeze() }))
	mux.HandleFunc("POST /admin/thaw", put(func(struct{}) { r.Thaw() }))
	mux.HandleFunc("POST /admin/leaving", put(func(l LeavingRequest) { r.SetLeaving(l.Leaving) }))
	mux.HandleFunc("GET /admin/executions", get(r.Executions))
	mux.HandleFunc("GET /admin/orders", get(r.OrderLog))
	mux.HandleFunc("GET /admin/stats", get(r.Stats))
	return mux
}

// get returns a handler that responds with the value that read returns, as JSON.
func get[T any](read func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, read())
	}
}

// put returns a handler that decodes a JSON body, calls set with the value and responds 204. An
// empty body stands for the zero value. A body with unknown fields is rejected with 400.
func put[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var v T
		if q.ContentLength != 0 {
			d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxRequestBytes))
			d.DisallowUnknownFields()
			if err := d.Decode(&v); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		set(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
