package entry

import (
	"context"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
)

const (
	// rowDelay is how long a row waits for others that are sent to the same holders in one message.
	rowDelay = 5 * time.Millisecond
	// originTimeout limits the wait for the answers to the question for a stream's origin. Between regions, an answer
	// takes some ten milliseconds. After half of it, all instances are asked again.
	originTimeout = 80 * time.Millisecond
)

// askOrigin asks other instances for the origin of a stream, twice if some don't answer. It returns once one of them has
// a row or all have answered, at originTimeout at the latest.
func (e *Entry) askOrigin(ctx context.Context, key streams.Key, service string) (answers []streams.Answer, asked int) {
	if e.peers == nil {
		return nil, 0
	}
	to := e.peers.streamTargets(key)
	id, received, ok := e.streams.register(len(to))
	if len(to) == 0 || !ok {
		return nil, len(to)
	}
	defer e.streams.unregister(id)
	query := peers.Message{StreamQueries: []peers.StreamQuery{{ID: id, Key: uint64(key), Service: service}}}
	for range 2 {
		e.peers.send(query, to...)
		var done bool
		if answers, done = collectAnswers(ctx, received, answers, len(to)); done {
			break
		}
	}
	return answers, len(to)
}

// collectAnswers adds the answers that come within half of originTimeout. It returns true once there is a row, there are
// n answers, or ctx has ended.
func collectAnswers(ctx context.Context, received <-chan streams.Answer, answers []streams.Answer, n int) ([]streams.Answer, bool) {
	timer := time.NewTimer(originTimeout / 2)
	defer timer.Stop()
	for {
		select {
		case a := <-received:
			answers = append(answers, a)
			if a.Basis == streams.ByRow || len(answers) >= n {
				return answers, true
			}
		case <-timer.C:
			return answers, false
		case <-ctx.Done():
			return answers, true
		}
	}
}

// streamTargets returns the addresses of the instances to ask for the origin of a stream.
func (s *peerExchange) streamTargets(key streams.Key) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.StreamTargets(key)
}

// scheduleStreamRows sends the due rows to their holders after rowDelay.
func (s *peerExchange) scheduleStreamRows() {
	if s != nil && s.e.streams.scheduleRows() {
		time.AfterFunc(rowDelay, s.sendStreamRows)
	}
}

// sendStreamRows sends the due rows to their holders.
func (s *peerExchange) sendStreamRows() {
	now, byHolder := time.Now(), make(map[string][]peers.StreamRow)
	rows := s.e.streams.takeDue()
	s.mu.Lock()
	for _, row := range rows {
		for _, address := range s.core.Holders(row.Key) {
			byHolder[address] = append(byHolder[address], peers.StreamRowOf(now, row))
		}
	}
	s.mu.Unlock()
	for address, rows := range byHolder {
		for len(rows) > 0 {
			n := min(len(rows), peers.MaxStreamRows)
			s.send(peers.Message{StreamRows: rows[:n]}, address)
			rows = rows[n:]
		}
	}
}

// copyDoubtfulRows sends the rows of streams that began while their service had one version of software to their
// holders, once that is in doubt.
func (s *peerExchange) copyDoubtfulRows() {
	var services []string
	s.e.streams.with(func(_ time.Time, core *streams.Core) { services = core.UndoubtedServices() })
	for _, service := range services {
		if s.e.state.upstreamsListed() && !s.e.soleSoftware(service) {
			s.copyRows(service)
		}
	}
}

// copyRows sends the rows of a service, whose versions are in doubt, that holders don't have yet to their holders.
func (s *peerExchange) copyRows(service string) {
	due := false
	s.e.streams.with(func(now time.Time, core *streams.Core) { due = core.Doubt(now, service) })
	if due {
		s.sendStreamRows()
		s.e.streamStore.wakeUp()
	}
}

// copyAllRows sends all rows that holders don't have yet to their holders: this instance stops, or routes may lead to
// other services from now on.
func (s *peerExchange) copyAllRows() {
	if s == nil {
		return
	}
	due := false
	for _, service := range s.e.streams.uncopiedServices() {
		s.e.streams.with(func(_ time.Time, core *streams.Core) { due = core.CopyAll(service) || due })
	}
	if due {
		s.sendStreamRows()
	}
}

// streamWriter returns the address of the instance that keeps durable rows in the platform's store; empty: this one.
func (s *peerExchange) streamWriter() string {
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.StreamWriter()
}

// zoneCount returns the number of availability zones with instances that this one knows.
func (s *peerExchange) zoneCount() int {
	if s == nil {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ZoneCount()
}

// sendDurable hands rows over to the instance that keeps them in the platform's store, and names those that ended.
func (s *peerExchange) sendDurable(to string, rows []streams.Row, ended []streams.Key) {
	now := time.Now()
	for some := range slices.Chunk(rows, peers.MaxStreamRows) {
		var m peers.Message
		for _, row := range some {
			m.DurableRows = append(m.DurableRows, peers.StreamRowOf(now, row))
		}
		s.send(m, to)
	}
	for some := range slices.Chunk(ended, peers.MaxEndedStreams) {
		var m peers.Message
		for _, key := range some {
			m.EndedStreams = append(m.EndedStreams, uint64(key))
		}
		s.send(m, to)
	}
}

// handleStreams handles what another instance sends about streams.
func (s *peerExchange) handleStreams(now time.Time, from string, m *peers.Message) {
	for i := range m.StreamRows {
		row := m.StreamRows[i].Row(now)
		s.e.streams.with(func(now time.Time, core *streams.Core) { core.Merge(now, row) })
	}
	s.handleDurable(now, m)
	if len(m.StreamQueries) > 0 {
		var answers []peers.StreamAnswer
		for _, query := range m.StreamQueries {
			answers = append(answers, peers.StreamAnswerOf(query.ID, s.e.ownAnswer(streams.Key(query.Key))))
		}
		s.send(peers.Message{StreamAnswers: answers}, from)
	}
	for i := range m.StreamAnswers {
		s.e.streams.deliver(m.StreamAnswers[i].ID, m.StreamAnswers[i].Answer())
	}
}

// handleDurable keeps the rows that another instance hands over.
func (s *peerExchange) handleDurable(now time.Time, m *peers.Message) {
	if len(m.DurableRows)+len(m.EndedStreams) == 0 {
		return
	}
	var rows []streams.Row
	for i := range m.DurableRows {
		rows = append(rows, m.DurableRows[i].Row(now))
	}
	var ended []streams.Key
	for _, key := range m.EndedStreams {
		ended = append(ended, streams.Key(key))
	}
	s.e.streamStore.keep(rows, ended)
	s.e.streamStore.wakeUp()
}
