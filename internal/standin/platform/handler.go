package platform

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// maxBodyBytes is the maximum size of a request body, which is an object: twice the maximum
// size of its spec, and 64 KiB for the other fields.
const maxBodyBytes = 2*platform.MaxValueBytes + 64<<10

// Handler serves the store over HTTP. Injected faults look to a client as they would at a real
// platform: calls get status 503 during an outage, and a lost response is a closed connection.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ObjectsPath, s.serveList)
	mux.HandleFunc("POST "+platform.ObjectsPath, s.serveCreate)
	mux.HandleFunc("GET "+platform.ObjectsPath+"/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT "+platform.ObjectsPath+"/{kind}/{name}", s.serveUpdate)
	mux.HandleFunc("DELETE "+platform.ObjectsPath+"/{kind}/{name}", s.serveDelete)
	mux.HandleFunc("GET "+platform.WatchPath, s.serveWatch)
	return s.authenticated(mux)
}

// authenticated rejects requests without the configured key, if there is one.
func (s *Store) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.cfg.Key != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.cfg.Key)) != 1 {
			writeJSON(w, http.StatusUnauthorized, platform.ErrorBody{Code: platform.CodeDenied, Message: "unknown key"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	objects, version, err := s.List(r.Context(), r.URL.Query().Get("kind"))
	writeResult(w, platform.ListBody{Version: version, Objects: objects}, err)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	writeResult(w, o, err)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err == nil {
		o, err = s.Create(r.Context(), o)
	}
	writeResult(w, o, err)
}

func (s *Store) serveUpdate(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(w, r)
	if err == nil && (o.Kind != r.PathValue("kind") || o.Name != r.PathValue("name")) {
		err = errors.Wrap(platform.ErrInvalid, "kind and name of the body differ from the path")
	}
	if err == nil {
		o, err = s.Update(r.Context(), o)
	}
	writeResult(w, o, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ifVersion, err := parseVersion(query.Get("version"))
	if err == nil {
		err = s.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), ifVersion, query.Get("writer"), query.Get("nonce"))
	}
	writeResult(w, struct{}{}, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := parseVersion(query.Get("from"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	events, err := s.Watch(r.Context(), query["kind"], from)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	defer events.Close()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	streamEvents(w, r, events)
}

// streamEvents writes events, one JSON object per line, until the watch fails or the client has
// gone.
func streamEvents(w http.ResponseWriter, r *http.Request, events platform.Watch) {
	controller := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	for {
		if err := controller.Flush(); err != nil {
			return
		}
		e, err := events.Next(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if err := lines.Encode(e); err != nil {
			return
		}
	}
}

func readObject(w http.ResponseWriter, r *http.Request) (platform.Object, error) {
	var o platform.Object
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return o, errors.Wrap(platform.ErrTooLarge, err.Error())
	}
	if err := json.Unmarshal(raw, &o); err != nil {
		return o, errors.Wrap(platform.ErrInvalid, err.Error())
	}
	return o, nil
}

// parseVersion parses a version. An empty text is version 0.
func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(platform.ErrInvalid, "version %q is no number", text)
	}
	return version, nil
}

// writeResult writes body, or the response for err if that is not nil. It closes the connection
// without a response for ErrOutcomeUnknown and for errors that the API has no code for.
func writeResult(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	out := platform.ErrorBody{Message: err.Error()}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		out.Code, out.Current = platform.CodeConflict, &conflict.Current
		writeJSON(w, http.StatusConflict, out)
	case errors.Is(err, platform.ErrNotFound):
		out.Code = platform.CodeNotFound
		writeJSON(w, http.StatusNotFound, out)
	case errors.Is(err, platform.ErrHistoryGone):
		out.Code = platform.CodeHistoryGone
		writeJSON(w, http.StatusGone, out)
	case errors.Is(err, platform.ErrTooLarge):
		out.Code = platform.CodeTooLarge
		writeJSON(w, http.StatusRequestEntityTooLarge, out)
	case errors.Is(err, platform.ErrInvalid):
		out.Code = platform.CodeInvalid
		writeJSON(w, http.StatusBadRequest, out)
	case errors.Is(err, platform.ErrUnavailable):
		out.Code = platform.CodeUnavailable
		writeJSON(w, http.StatusServiceUnavailable, out)
	default:
		panic(http.ErrAbortHandler) // closes the connection
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the client has gone
}
