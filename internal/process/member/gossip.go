package member

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// relayInterval returns by how much the beat of another daemon must grow until it is
// relayed again. It grows with the number of daemons, so that on average
// relayedRowsPerInterval rows are relayed per interval.
func (c *Core) relayInterval() uint64 {
	return uint64(max(1, (len(c.records)+relayedRowsPerInterval-1)/relayedRowsPerInterval))
}

// tick starts a heartbeat interval. It returns the heartbeats to the connected peers,
// with the rows and beats of other daemons that are due to be relayed.
func (c *Core) tick(now boottime.Time) []Action {
	c.beat++
	c.forget(now)
	names := c.connectedNames()
	full, beats := c.pendingRows()
	var out []Action
	for _, name := range names {
		h := peer.Heartbeat{Beat: c.beat, Applied: c.applied}
		h.Rows = rowsFor(name, full)
		h.Beats = c.beatsFor(name, beats)
		out = append(out, SendHeartbeat{To: name, Heartbeat: h})
	}
	for _, r := range slices.Concat(full, beats) {
		r.pending = relayNone
		r.relayedBeat = r.row.Beat
		r.relayedApplied = r.row.Applied
	}
	return out
}

// pendingRows returns the records to relay, ordered by name. full are to be relayed as
// MemberRows: those that changed, and one in turn that nextRefresh chooses. beats are to
// be relayed as BeatRows.
func (c *Core) pendingRows() (full, beats []*record) {
	refreshed := c.nextRefresh()
	for _, name := range c.names() {
		r := c.records[name]
		switch {
		case r.listedOnly():
		case r.pending == relayFull || r == refreshed:
			full = append(full, r)
		case r.pending == relayBeat || c.relayDue(r):
			beats = append(beats, r)
		}
	}
	return full, beats
}

// relayDue reports whether the beat of a daemon has grown by relayInterval or its applied
// version has changed since the last relay.
func (c *Core) relayDue(r *record) bool {
	return r.state != Gone && (r.row.Beat >= r.relayedBeat+c.relayInterval() || r.row.Applied != r.relayedApplied)
}

// names returns the sorted names of the other daemons.
func (c *Core) names() []string {
	names := make([]string, 0, len(c.records))
	for name := range c.records {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nextRefresh returns the daemon whose full row is repeated in this interval, in case it
// was lost before. The daemons take turns. It returns nil if it is the turn of a daemon
// that is not live: if rows of such daemons were repeated, daemons that are gone would
// stay known forever.
func (c *Core) nextRefresh() *record {
	names := c.names()
	if len(names) == 0 {
		return nil
	}
	c.refreshIndex = (c.refreshIndex + 1) % len(names)
	r := c.records[names[c.refreshIndex]]
	if r.state != Live {
		return nil
	}
	return r
}

// rowsFor returns the full rows of records for the named peer, without the row about the
// peer itself and the rows that came from it.
func rowsFor(name string, records []*record) []peer.MemberRow {
	var rows []peer.MemberRow
	for _, r := range records {
		if r.row.Name != name && r.source != name {
			rows = append(rows, r.relayRow())
		}
	}
	return rows
}

// relayRow returns the row to relay, with this daemon's suspicion.
func (r *record) relayRow() peer.MemberRow {
	row := r.row
	row.Suspected = r.suspected
	return row
}

// beatsFor returns the short rows of records for the named peer, without the one about
// the peer itself and those that came from it.
func (c *Core) beatsFor(name string, records []*record) []peer.HeartbeatRow {
	var rows []peer.HeartbeatRow
	for _, r := range records {
		if r.row.Name == name || r.source == name {
			continue
		}
		rows = append(rows, peer.HeartbeatRow{
			ID:   RowID(r.row.Name, r.row.Incarnation),
			Beat: r.row.Beat,
			Lag:  int64(c.applied - r.row.Applied),
		})
	}
	return rows
}

// fullHeartbeat returns the first heartbeat for a new connection, with the full rows
// of all daemons that are live or leaving.
func (c *Core) fullHeartbeat(to string) peer.Heartbeat {
	h := peer.Heartbeat{Beat: c.beat, Applied: c.applied, Rows: []peer.MemberRow{c.ownRow()}}
	for _, name := range c.names() {
		r := c.records[name]
		if name != to && !r.listedOnly() && (r.state == Live || r.state == Leaving) {
			h.Rows = append(h.Rows, r.relayRow())
		}
	}
	return h
}

// mergeHeartbeat merges what a connected peer reports about itself and other daemons.
func (c *Core) mergeHeartbeat(now boottime.Time, e HeartbeatReceived) []Action {
	from := c.records[e.From]
	if from == nil || !from.connected {
		return nil // the connection was closed before the heartbeat was handled
	}
	h := e.Heartbeat
	from.recordBeat(now, h.Beat)
	from.row.Applied = h.Applied
	from.direct = true
	c.updateState(now, from)
	for _, row := range h.Rows {
		c.mergeRow(now, e.From, row)
		if r := c.records[row.Name]; r != nil {
			c.updateState(now, r)
		}
	}
	for _, row := range h.Beats {
		if r := c.ids[row.ID]; r != nil {
			c.mergeBeat(now, e.From, h.Applied, r, row)
			c.updateState(now, r)
		}
	}
	return []Action{PeerVersion{From: e.From, Applied: h.Applied}}
}

// mergeBeat merges a short row that a peer relayed. applied is the version in force at
// that peer, to which the lag of the row refers.
func (c *Core) mergeBeat(now boottime.Time, from string, applied uint64, r *record, row peer.HeartbeatRow) {
	if row.Beat <= r.row.Beat {
		return
	}
	r.source = from
	r.direct = false
	r.row.Applied = applied - uint64(row.Lag)
	r.recordBeat(now, row.Beat)
}

// mergeRow merges a full row that a peer relayed. A row about a suspected daemon does not
// make an unknown daemon or another incarnation known.
func (c *Core) mergeRow(now boottime.Time, from string, row peer.MemberRow) {
	if row.Name == "" || row.Name == c.cfg.Self.Name {
		return
	}
	suspected := row.Suspected
	row.Suspected = false
	r := c.records[row.Name]
	switch {
	case r == nil:
		if !suspected {
			c.add(now, row).relayAs(relayFull, from)
		}
		return
	case r.row.Incarnation != row.Incarnation:
		if !suspected && c.supersedes(now, row, r) {
			c.restart(now, r, row)
			r.relayAs(relayFull, from)
		}
		return
	}
	c.mergeSameIncarnation(now, from, r, row)
	if suspected {
		c.mergeSuspicion(now, from, r, row.Beat)
	}
}

// supersedes reports whether a row of another incarnation replaces the known record. It
// never replaces the incarnation of an open connection.
func (c *Core) supersedes(now boottime.Time, row peer.MemberRow, r *record) bool {
	if r.connected {
		return false
	}
	return row.Incarnation > r.row.Incarnation || r.silence(now) > c.remoteTimeout()
}

// mergeSameIncarnation merges a row of the known incarnation. A row with an older beat
// can report that the daemon is leaving, but no row can undo that.
func (c *Core) mergeSameIncarnation(now boottime.Time, from string, r *record, row peer.MemberRow) {
	if row.Leaving && !r.row.Leaving {
		r.row.Leaving = true
		r.relayAs(relayFull, from)
		c.changed = true
	}
	if row.Beat <= r.row.Beat {
		return
	}
	leaving := r.row.Leaving
	r.row = row
	r.row.Leaving = leaving
	r.source = from
	r.direct = from == row.Name
	r.recordBeat(now, row.Beat)
}

// mergeSuspicion handles the report that a neighbor of r has got no heartbeat of r after
// beat. If this daemon knows a higher beat, it relays that as a refutation. If it is
// connected to r and r is not silent, it relays the next beat of r instead. Otherwise it
// suspects r too and relays the suspicion.
func (c *Core) mergeSuspicion(now boottime.Time, from string, r *record, beat uint64) {
	if r.row.Beat > beat {
		r.relayAs(relayBeat, "") // to all peers including from
		return
	}
	if r.connected && r.silence(now) < suspectTimeoutBeats*c.cfg.Interval {
		r.refute = true
		r.suspectBeat = beat
		return
	}
	if !r.suspected {
		r.markSuspect(beat)
		r.relayAs(relayFull, from)
	}
}
