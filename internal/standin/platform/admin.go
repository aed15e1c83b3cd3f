package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxAdminBytes is the maximum size of a request body of the admin endpoints.
const maxAdminBytes = 64 << 10

// FaultBody is the JSON form of a Fault on the admin endpoints. The fields have the same meaning.
type FaultBody struct {
	Outage         bool `json:"outage"`
	Hang           bool `json:"hang"`
	SlowMS         int  `json:"slowMS"`
	LoseResponses  int  `json:"loseAnswers"`
	LoseWrites     int  `json:"loseWrites"`
	CutWatches     bool `json:"cutWatches"`
	StaleInstances bool `json:"staleInstances"`
}

func (b FaultBody) fault() Fault {
	return Fault{
		Outage:         b.Outage,
		Hang:           b.Hang,
		Slow:           time.Duration(b.SlowMS) * time.Millisecond,
		LoseResponses:  b.LoseResponses,
		LoseWrites:     b.LoseWrites,
		CutWatches:     b.CutWatches,
		StaleInstances: b.StaleInstances,
	}
}

// faultBody converts a Fault to its JSON form. CutWatches is left out, as it takes effect once
// and is not part of the fault that remains.
func faultBody(f Fault) FaultBody {
	return FaultBody{
		Outage:         f.Outage,
		Hang:           f.Hang,
		SlowMS:         int(f.Slow / time.Millisecond),
		LoseResponses:  f.LoseResponses,
		LoseWrites:     f.LoseWrites,
		StaleInstances: f.StaleInstances,
	}
}

// AdminHandler serves the admin endpoints. They require no key, so they should be served
// on a loopback address only.
//
//	GET, PUT  /admin/fault             FaultBody; PUT replaces the injected fault
//	PUT       /admin/instances/{name}  resource.Instance
//	DELETE    /admin/instances/{name}
//	GET       /admin/stats             Stats
func (s *Store) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/fault", s.serveFault)
	mux.HandleFunc("PUT /admin/fault", s.serveSetFault)
	mux.HandleFunc("PUT /admin/instances/{name}", s.servePutInstance)
	mux.HandleFunc("DELETE /admin/instances/{name}", s.serveRemoveInstance)
	mux.HandleFunc("GET /admin/stats", s.serveStats)
	return mux
}

func (s *Store) serveFault(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, faultBody(s.CurrentFault()))
}

func (s *Store) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if !decodeAdminBody(w, r, &body) {
		return
	}
	s.SetFault(body.fault())
	s.serveFault(w, r)
}

func (s *Store) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var instance resource.Instance
	if !decodeAdminBody(w, r, &instance) {
		return
	}
	s.PutInstance(r.PathValue("name"), instance)
	writeJSON(w, http.StatusOK, instance)
}

func (s *Store) serveRemoveInstance(w http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// decodeAdminBody decodes a request body into out. It rejects unknown fields, so that a
// misspelled fault is an error. On an error it writes status 400 and returns false.
func decodeAdminBody(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
