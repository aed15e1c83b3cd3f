package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// kindStreamOrigins is the kind of the objects with the durable rows, two objects per availability zone: see
	// streams.ZoneRows.
	kindStreamOrigins = "StreamOrigins"
	// recentSuffix follows the name of the availability zone in the name of the object with recent rows.
	recentSuffix = ".recent"
	// handOverInterval is the minimum time between two times that rows are handed over. Others that come meanwhile share the
	// message; the rows of engines that answer after some ten milliseconds should be stored by then.
	handOverInterval = 20 * time.Millisecond
	// storeRowsTimeout limits a write of the rows, and the read that it may need.
	storeRowsTimeout = 2 * time.Second
	// finishTimeout limits the last write of a stopping process. Its grace period is nearly over then.
	finishTimeout = 300 * time.Millisecond
	// storeRowTimeout limits the wait for a row that has to be stored. A request waits for it.
	storeRowTimeout = 400 * time.Millisecond
	// rowWriteShare is the share of the writes that the platform's store accepts which rows may take, in all
	// availability zones together.
	rowWriteShare = 0.05
	// storedReadInterval is the minimum time between two reads of the stored rows. Requests between them share the next one.
	storedReadInterval = 250 * time.Millisecond
	// maxReadBytesPerSecond limits what the reads of one instance amount to, as each reads the rows of all zones, and all
	// instances may do so after a loss of all.
	maxReadBytesPerSecond = 200_000
	// recentRowsLife is how long the rows of a read serve requests that don't need newer ones.
	recentRowsLife = 2 * time.Second
)

// streamStore hands the durable rows of this instance over to the instance that writes those of the availability zone to
// the platform's store. If that is this one, it writes them. It also reads the stored rows of all zones.
type streamStore struct {
	e     *Entry
	wake  chan struct{}                      // signals that there may be something to do
	reads *sharedReads[[]streams.StoredRows] // of the rows of all availability zones

	mu          sync.Mutex
	rows        *streams.ZoneRows    // of the zone, as far as this instance is to write them
	last        []streams.StoredRows // of all zones, by the last read that succeeded
	lastBegunAt time.Time            // when that read began; zero: there was none
	readFailing bool                 // the last read failed
	changed     chan struct{}        // closed, and replaced, when rows were written

	writing sync.Mutex                         // held during a write; guards the following
	objects map[streams.RowsObject]*rowsObject // those that were read
	failing bool                               // the last write failed
}

// rowsObject is what is known of an object in the store.
type rowsObject struct {
	merged  bool   // rows has what the object had at version
	version uint64 // 0: there is no such object
}

func newStreamStore(e *Entry) *streamStore {
	s := &streamStore{e: e, wake: make(chan struct{}, 1), rows: streams.NewZoneRows(), changed: make(chan struct{}), objects: make(map[streams.RowsObject]*rowsObject)}
	s.reads = newSharedReads(storedReadInterval, s.list)
	return s
}

// wakeUp has run check whether there is something to do.
func (s *streamStore) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a check is pending already
	}
}

// run hands rows over and writes them until ctx ends. While there is nothing to do, it does nothing.
func (s *streamStore) run(ctx context.Context) {
	for platform.Sleep(ctx, handOverInterval) == nil {
		s.handOver(false)
		s.writeDue(ctx)
		s.awaitNext(ctx)
	}
	if s.e.peers == nil {
		s.handOver(true)
		s.finish()
	}
}

// awaitNext waits until something is due, somebody calls wakeUp, or ctx ends.
func (s *streamStore) awaitNext(ctx context.Context) {
	var due <-chan time.Time
	if at, ok := s.nextAt(time.Now()); ok {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-due:
	}
}

// nextAt returns when something is due; ok is false if nothing waits.
func (s *streamStore) nextAt(now time.Time) (at time.Time, ok bool) {
	s.e.streams.with(func(now time.Time, core *streams.Core) { at, ok = core.NextDurable(now) })
	_, kind, writeAt := s.nextWrite(now)
	if kind != streams.NoWrite && (!ok || writeAt.Before(at)) {
		return writeAt, true
	}
	return at, ok
}

func (s *streamStore) nextWrite(now time.Time) (streams.RowsObject, streams.WriteKind, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.Next(now)
}

// handOver hands over the own rows that are due. all: also those that aren't due yet, as this process stops.
func (s *streamStore) handOver(all bool) {
	var rows []streams.Row
	var ended []streams.Key
	s.e.streams.with(func(now time.Time, core *streams.Core) { rows, ended = core.TakeDurable(now, all) })
	if len(rows)+len(ended) == 0 {
		return
	}
	if to := s.e.peers.streamWriter(); to != "" {
		s.e.peers.sendDurable(to, rows, ended)
		return
	}
	s.keep(rows, ended)
}

// keep adds rows of instances of the availability zone, and drops those of streams that ended.
func (s *streamStore) keep(rows []streams.Row, ended []streams.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, row := range rows {
		s.rows.Add(now, row)
	}
	for _, key := range ended {
		s.rows.Drop(key)
	}
}

// storeRow keeps a row and waits until the platform's store has it. Rows of several callers share a write, and writes are
// as far apart as others. It returns an error if that takes longer than storeRowTimeout, or ctx ends.
func (s *streamStore) storeRow(ctx context.Context, row streams.Row) error {
	ctx, cancel := context.WithTimeout(ctx, storeRowTimeout)
	defer cancel()
	s.keep([]streams.Row{row}, nil)
	s.wakeUp()
	for {
		stored, changed := s.isStored(row.Key)
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isStored reports whether the platform's store has the row of a stream as it is kept. The channel is closed when that may
// have changed.
func (s *streamStore) isStored(key streams.Key) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.IsStored(key), s.changed
}

// writeInterval returns the minimum time between two writes of the rows of this availability zone.
func (s *streamStore) writeInterval() time.Duration {
	perSecond := rowWriteShare * s.e.cfg.Settings.StoreLimits.WritesPerSecond / float64(s.e.peers.zoneCount())
	return time.Duration(float64(time.Second) / perSecond)
}

// finish writes what is left, as this process stops.
func (s *streamStore) finish() {
	if _, kind, _ := s.nextWrite(time.Now()); kind != streams.WriteRows {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	s.write(ctx)
}

// writeDue writes the rows if that is due.
func (s *streamStore) writeDue(ctx context.Context) {
	now := time.Now()
	if _, kind, at := s.nextWrite(now); kind == streams.NoWrite || at.After(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeRowsTimeout)
	defer cancel()
	s.write(ctx)
}

// write writes rows to the object that is due, or deletes it if it has been without rows for long. If another instance has
// written it meanwhile, it merges those rows first.
func (s *streamStore) write(ctx context.Context) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.attempted(streams.RecentRows, 0)
	err := s.mergeAndWrite(ctx)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		s.forgetObjects()
		err = s.mergeAndWrite(ctx)
	}
	if err != nil {
		s.forgetObjects()
	}
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		logline.Info("origins of streams stored", "ok", !failing, "error", err)
	}
}

// attempted records an attempt to write an object with a number of bytes.
func (s *streamStore) attempted(object streams.RowsObject, bytes int) {
	interval := s.writeInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.SetMinInterval(interval)
	s.rows.Attempted(time.Now(), object, bytes)
}

// forgetObjects has the objects that were read merged again: the store may have other ones. Callers hold writing.
func (s *streamStore) forgetObjects() {
	for _, o := range s.objects {
		o.merged = false
	}
}

// mergeAndWrite writes the object that is due, after merging what may be new in the store. Callers hold writing.
func (s *streamStore) mergeAndWrite(ctx context.Context) error {
	for _, object := range streams.RowsObjects {
		if o := s.objects[object]; o != nil && !o.merged {
			if err := s.merge(ctx, object); err != nil {
				return err
			}
		}
	}
	now := time.Now()
	object, kind, rows := s.due(now)
	if s.objects[object] == nil && kind != streams.NoWrite {
		if err := s.merge(ctx, object); err != nil {
			return err
		}
		now = time.Now()
		object, kind, rows = s.due(now)
	}
	switch {
	case s.objects[object] == nil: // another one is due now
		return nil
	case kind == streams.WriteRows:
		return s.put(ctx, now, object, rows)
	case kind == streams.DeleteRows && len(rows) == 0:
		return s.delete(ctx, object)
	}
	return nil
}

// due returns what is to be written next.
func (s *streamStore) due(now time.Time) (streams.RowsObject, streams.WriteKind, []streams.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, kind, _ := s.rows.Next(now)
	return object, kind, s.rows.Rows(now, object)
}

// merge reads and merges an object. One that can't be decoded counts as empty. Callers hold writing.
func (s *streamStore) merge(ctx context.Context, object streams.RowsObject) error {
	o, err := s.e.cfg.Records.Get(ctx, kindStreamOrigins, s.objectName(object))
	if err != nil && !errors.Is(err, platform.ErrNotFound) && o.Version == 0 {
		return err
	}
	stored, _ := decodeStoredRows(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.MergeStored(time.Now(), object, stored.Rows(), o.Version != 0)
	s.objects[object] = &rowsObject{merged: true, version: o.Version}
	return nil
}

// put writes rows to an object. Callers hold writing.
func (s *streamStore) put(ctx context.Context, now time.Time, object streams.RowsObject, rows []streams.Row) error {
	o, err := resource.Encode(kindStreamOrigins, s.objectName(object), streams.EncodeRows(now, rows))
	if err != nil {
		return err
	}
	o.Version, o.Writer = s.objects[object].version, s.e.cfg.Settings.Instance.Name
	s.attempted(object, len(o.Spec))
	stored, err := platform.Write(ctx, s.e.cfg.Records, o)
	if err != nil {
		return err
	}
	s.written(object, stored.Version, rows)
	return nil
}

// delete deletes an object. Callers hold writing.
func (s *streamStore) delete(ctx context.Context, object streams.RowsObject) error {
	err := platform.ResolveDelete(ctx, s.e.cfg.Records, kindStreamOrigins, s.objectName(object), s.objects[object].version, s.e.cfg.Settings.Instance.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	s.written(object, 0, nil)
	return nil
}

// written records what the store has now in an object, at a version. Callers hold writing.
func (s *streamStore) written(object streams.RowsObject, version uint64, rows []streams.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[object].version = version
	s.rows.Written(object, rows, version != 0)
	close(s.changed)
	s.changed = make(chan struct{})
}

// objectName returns the name of an object with rows of the availability zone.
func (s *streamStore) objectName(object streams.RowsObject) string {
	name := cmp.Or(s.e.cfg.Settings.Instance.Zone, "none")
	if object == streams.RecentRows {
		name += recentSuffix
	}
	return name
}

// decodeStoredRows decodes an object. Without a spec, or with an error, there are no rows.
func decodeStoredRows(o platform.Object) (streams.StoredRows, error) {
	var stored streams.StoredRows
	if len(o.Spec) == 0 {
		return stored, nil
	}
	err := json.Unmarshal(o.Spec, &stored)
	if err == nil {
		err = stored.Check()
	}
	if err != nil {
		return streams.StoredRows{}, errors.Wrapf(err, "%s/%s", o.Kind, o.Name)
	}
	return stored, nil
}

// storedOrigin looks a stream up in the rows that the platform's store keeps for all availability zones. found is false
// if they have no row. The origin is empty if they contradict one another.
func (e *Entry) storedOrigin(ctx context.Context, key streams.Key) (origin streams.Origin, found bool, err error) {
	return findStored(ctx, e.streamStore.readFor(key), key)
}

// readFor returns a read of the stored rows that begins from now on, or nil without a key.
func (s *streamStore) readFor(key streams.Key) *sharedRead[[]streams.StoredRows] {
	if key == 0 {
		return nil
	}
	return s.reads.join()
}

// recentRows returns the rows of the last read; ok is false if there is none that began within recentRowsLife.
func (s *streamStore) recentRows(now time.Time) (rows []streams.StoredRows, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = !s.lastBegunAt.IsZero() && now.Sub(s.lastBegunAt) < recentRowsLife
	return s.last, ok
}

// findStored looks a stream up in the rows that a read returns, as storedOrigin does. read is nil without a key.
func findStored(ctx context.Context, read *sharedRead[[]streams.StoredRows], key streams.Key) (origin streams.Origin, found bool, err error) {
	if read == nil {
		return streams.Origin{}, false, nil
	}
	objects, err := read.await(ctx)
	if err != nil {
		return streams.Origin{}, false, err
	}
	origin, found = streams.FindStored(time.Now(), objects, key)
	return origin, found, nil
}

// list reads the stored rows of all availability zones.
func (s *streamStore) list(ctx context.Context) (rows []streams.StoredRows, err error) {
	begunAt := time.Now()
	objects, _, err := s.e.cfg.Records.List(ctx, kindStreamOrigins)
	bytes := 0
	for _, o := range objects {
		bytes += len(o.Spec)
		stored, err := decodeStoredRows(o)
		if err != nil {
			logline.Info("entry unreadable", "kind", kindStreamOrigins, "name", o.Name, "why", err)
			continue
		}
		rows = append(rows, stored)
	}
	s.recordRead(begunAt, rows, err)
	s.reads.setGap(max(storedReadInterval, time.Duration(bytes)*time.Second/maxReadBytesPerSecond))
	return rows, err
}

// recordRead records the result of a read. It logs the first failure and the first success after that.
func (s *streamStore) recordRead(begunAt time.Time, rows []streams.StoredRows, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && begunAt.After(s.lastBegunAt) {
		s.last, s.lastBegunAt = rows, begunAt
	}
	if failing := err != nil; failing != s.readFailing {
		s.readFailing = failing
		logline.Info("origins of streams read", "ok", !failing, "error", err)
	}
}
