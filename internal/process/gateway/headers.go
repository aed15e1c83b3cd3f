package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// deadlineOf returns the time limit of a request, counted from its arrival: from the header if that is
// set, else from the body field if that is above 0, else fallback. It returns an error if the header is
// invalid.
func deadlineOf(h http.Header, body, fallback time.Duration) (time.Duration, error) {
	text := h.Get(headerDeadline)
	if text == "" {
		if body > 0 {
			return body, nil
		}
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, invalidField(headerDeadline, "is "+strconv.Quote(text)+"; allowed is a whole number of milliseconds")
	}
	return checkDeadline(headerDeadline, ms)
}

// checkDeadline converts a time limit in milliseconds. It returns an error that names field unless the
// limit is from 1 ms to maxDeadline.
func checkDeadline(field string, ms int64) (time.Duration, error) {
	if ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, invalidField(field, "is "+strconv.FormatInt(ms, 10)+
			"; allowed are 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10)+" milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// priorityOf returns the priority that the caller requested in the header or else in the body field, or
// nil if neither is set. It returns an error if the header is invalid.
func priorityOf(h http.Header, body *int) (*int, error) {
	text := h.Get(headerPriority)
	if text == "" {
		return body, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil {
		return nil, invalidField(headerPriority, "is "+strconv.Quote(text)+"; allowed is a whole number")
	}
	if err := checkPriority(headerPriority, p); err != nil {
		return nil, err
	}
	return &p, nil
}

// checkPriority returns an error that names field if a priority is out of range.
func checkPriority(field string, p int) error {
	if p < minPriority || p > maxPriority {
		return invalidField(field, "is "+strconv.Itoa(p)+"; allowed are "+
			strconv.Itoa(minPriority)+" to "+strconv.Itoa(maxPriority))
	}
	return nil
}

// idempotencyKey returns the Idempotency-Key header, or "" if there is none. It returns an error if the
// header is empty, too long or given more than once.
func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalidField(headerIdempotencyKey, "is given more than once")
	}
	key := values[0]
	if key == "" || len(key) > maxKeyBytes {
		return "", invalidField(headerIdempotencyKey, "must have 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return key, nil
}

// firstSend reports whether the Idempotency-Attempt header states that the caller sends its key for the
// first time. It returns an error if the header is invalid or given without a key.
func firstSend(h http.Header, key string) (bool, error) {
	values := h.Values(headerAttempt)
	switch {
	case len(values) == 0:
		return false, nil
	case len(values) > 1:
		return false, invalidField(headerAttempt, "is given more than once")
	case values[0] != attemptFirst:
		return false, invalidField(headerAttempt, "is "+strconv.Quote(truncate(values[0]))+"; allowed is "+strconv.Quote(attemptFirst))
	case key == "":
		return false, invalidField(headerAttempt, "is given without "+headerIdempotencyKey)
	}
	return true, nil
}
