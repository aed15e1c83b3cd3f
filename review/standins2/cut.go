package main

import (
	"context"
	"net/http"
)

// newCutContext returns a context that ends with parent or when cut is closed.
func newCutContext(parent context.Context, cut <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// heldWriter holds an answer until it is complete.
type heldWriter struct {
	header  http.Header
	status  int
	body    []byte
	written bool
}

// Header implements http.ResponseWriter.
func (w *heldWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *heldWriter) WriteHeader(status int) {
	if !w.written {
		w.status, w.written = status, true
	}
}

// Write implements http.ResponseWriter.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, p...)
	return len(p), nil
}
