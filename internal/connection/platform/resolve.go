package platform

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// NewNonce returns a new nonce for one write. A write that is resent after a lost
// answer keeps its nonce.
func NewNonce() string { return uuid.NewString() }

const (
	maxResends     = 4               // of one write or deletion after a lost answer
	historyTimeout = 2 * time.Second // for searching the watch history for a write
)

// WriteFunc is the method Create or Update of a Store.
type WriteFunc func(ctx context.Context, o Object) (Object, error)

// Resolve makes the conditional write of o (write is s.Create or s.Update). If the
// answer is lost, Resolve determines whether the write took effect. If o has no nonce,
// Resolve gives it a new one.
//
// A read that returns the old version does not prove that the write had no effect: the
// write may still be in transit and take effect later. So a write with an unknown
// outcome is sent again with the same nonce and the same expected version. Whichever of
// the two sends takes effect first makes the other one conflict. Before each resend
// there is a random delay (see Backoff), since one network failure can lose the answers
// of many writers.
//
// Resolve returns:
//   - the stored object and nil: the write took effect and is the newest version.
//   - *ConflictError (ErrConflict): the write provably had no effect and never will.
//   - *UndeterminedError (matches ErrOutcomeUnknown, not ErrConflict): the stored version is
//     another writer's, or the object does not exist, and the platform's history does
//     not show whether the write took effect before. The caller must assume that the
//     write may have taken effect. The returned object is the stored one.
//   - *OverwrittenError: the write took effect, and the object was written again or
//     deleted since.
//   - ErrOutcomeUnknown: resending failed, or reading the object after a conflict.
//   - ErrUnavailable and other errors: the write had no effect.
func Resolve(ctx context.Context, s Store, o Object, write WriteFunc) (Object, error) {
	if o.Nonce == "" {
		o.Nonce = NewNonce()
	}
	stored, err := write(ctx, o)
	if err == nil {
		return stored, nil
	}
	if own, ok := conflictWithOwnWrite(o, err); ok {
		return own, nil
	}
	if !errors.Is(err, ErrOutcomeUnknown) {
		return Object{}, err
	}
	return resend(ctx, s, o, write)
}

// Write creates o if o.Version is zero and updates it otherwise. It handles a lost
// answer, and returns errors, as Resolve does.
func Write(ctx context.Context, s Store, o Object) (Object, error) {
	if o.Version == 0 {
		return Resolve(ctx, s, o, s.Create)
	}
	return Resolve(ctx, s, o, s.Update)
}

// ResolveDelete deletes an object. After a lost answer it sends the deletion again; if
// the object does not exist any more, it returns nil, whoever deleted the object. It
// returns ErrOutcomeUnknown if the answers of all resends are lost too.
func ResolveDelete(ctx context.Context, s Store, kind, name string, ifVersion uint64, writer string) error {
	nonce := NewNonce()
	err := s.Delete(ctx, kind, name, ifVersion, writer, nonce)
	for attempt := 0; errors.Is(err, ErrOutcomeUnknown) && attempt < maxResends; attempt++ {
		if DefaultBackoff.Wait(ctx, attempt) != nil {
			return err
		}
		resendErr := s.Delete(ctx, kind, name, ifVersion, writer, nonce)
		if errors.Is(resendErr, ErrNotFound) {
			return nil
		}
		if !errors.Is(resendErr, ErrUnavailable) {
			err = resendErr
		}
	}
	return err
}

// resend determines the outcome of a write whose answer was lost by sending it again.
func resend(ctx context.Context, s Store, o Object, write WriteFunc) (Object, error) {
	cause := ErrOutcomeUnknown
	for attempt := range maxResends {
		if DefaultBackoff.Wait(ctx, attempt) != nil {
			break
		}
		stored, err := write(ctx, o)
		if err == nil {
			return stored, nil
		}
		if own, ok := conflictWithOwnWrite(o, err); ok {
			return own, nil
		}
		if errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
			return determineOutcome(ctx, s, o)
		}
		cause = err // an error of a resend does not show whether the first send took effect
	}
	return Object{}, errors.Wrapf(ErrOutcomeUnknown, "%s/%s: sending again: %v", o.Kind, o.Name, cause)
}

// determineOutcome reads the stored object and determines whether o was written before
// it. It is called after a resend of o was refused, when o can no longer take effect.
func determineOutcome(ctx context.Context, s Store, o Object) (Object, error) {
	stored, err := s.Get(ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Object{}, errors.Wrapf(ErrOutcomeUnknown, "%s/%s: reading back: %v", o.Kind, o.Name, err)
	}
	if err == nil && stored.Nonce == o.Nonce {
		return stored, nil
	}
	current := CurrentOf(stored)
	switch searchHistory(ctx, s, o, stored.Version) {
	case inHistory:
		return stored, &OverwrittenError{Kind: o.Kind, Name: o.Name, Current: current}
	case notInHistory:
		return stored, &ConflictError{Kind: o.Kind, Name: o.Name, Current: current}
	default:
		return stored, &UndeterminedError{Kind: o.Kind, Name: o.Name, Current: current}
	}
}

// historyResult is the result of searching the watch history for a write.
type historyResult int

const (
	historyUnavailable historyResult = iota // the history cannot be read from the needed version on
	inHistory
	notInHistory
)

// searchHistory searches the watch history for the write of o, from the version that o
// expected up to version upTo. For a create it returns historyUnavailable, because a
// create expects no version from which the search could begin.
func searchHistory(ctx context.Context, s Store, o Object, upTo uint64) historyResult {
	if o.Version == 0 {
		return historyUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	w, err := s.Watch(ctx, []string{o.Kind}, o.Version)
	if err != nil {
		return historyUnavailable
	}
	defer w.Close()
	for {
		e, err := w.Next(ctx)
		if err != nil {
			return historyUnavailable
		}
		if e.Object.Version >= upTo && e.Type == Bookmark {
			return notInHistory
		}
		if e.Object.Name == o.Name && e.Object.Nonce == o.Nonce {
			return inHistory
		}
	}
}

// conflictWithOwnWrite reports whether err is a conflict with an earlier send of the same
// write, which is recognized by its nonce. Then the write took effect, and
// conflictWithOwnWrite returns the object as stored.
func conflictWithOwnWrite(o Object, err error) (Object, bool) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Nonce != o.Nonce {
		return Object{}, false
	}
	o.Version = conflict.Current.Version
	o.UID = conflict.Current.UID
	return o, true
}
