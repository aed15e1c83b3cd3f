package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
)

const (
	// MaxStreamRows is how many stream rows one message holds.
	MaxStreamRows = 8
	// MaxEndedStreams is how many ended streams one message names.
	MaxEndedStreams = 64
	// maxNameBytes limits the names of services and versions in rows and answers.
	maxNameBytes = 128
	// streamCopies is how many holders get a row, each in another availability zone if there are enough. A row
	// survives the loss of any two of them.
	streamCopies = 3
	// maxAskAll is the number of other instances up to which all of them get each row and are asked for a stream's
	// origin. Then it matters little whether their lists of instances differ.
	maxAskAll = 16
)

// StreamRow encodes a streams.Row.
type StreamRow struct {
	_        struct{} `cbor:",toarray"`
	Key      uint64
	Service  string
	Software string
	LeftMS   int64 // time until the row expires, in milliseconds
}

// StreamQuery asks for the origin of a stream.
type StreamQuery struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64   // chosen by the sender
	Key     uint64   // streams.Key
	Service string   // service of the request that resumes the stream
}

// StreamAnswer encodes a streams.Answer.
type StreamAnswer struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64   // of the query
	Basis    uint8    // streams.Basis
	Service  string
	Software string
}

// RequiredSoftware says that a place request is for an upstream with a version of software.
type RequiredSoftware struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64   // of the place request
	Software string
}

// GrantedSoftware describes the software of the upstream in the answer to a place request.
type GrantedSoftware struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64   // of the place request
	Software string
	Sole     bool // see PlaceResponse
}

// StreamRowOf encodes a row.
func StreamRowOf(now time.Time, r streams.Row) StreamRow {
	return StreamRow{Key: uint64(r.Key), Service: r.Origin.Service, Software: r.Origin.Software, LeftMS: r.Expires.Sub(now).Milliseconds()}
}

// Row decodes a row.
func (r *StreamRow) Row(now time.Time) streams.Row {
	return streams.Row{
		Key: streams.Key(r.Key), Origin: streams.Origin{Service: r.Service, Software: r.Software},
		Expires: now.Add(time.Duration(r.LeftMS) * time.Millisecond),
	}
}

// StreamAnswerOf encodes an answer to the query with an ID.
func StreamAnswerOf(id uint64, a streams.Answer) StreamAnswer {
	return StreamAnswer{ID: id, Basis: uint8(a.Basis), Service: a.Origin.Service, Software: a.Origin.Software}
}

// Answer decodes an answer.
func (a *StreamAnswer) Answer() streams.Answer {
	return streams.Answer{Basis: streams.Basis(a.Basis), Origin: streams.Origin{Service: a.Service, Software: a.Software}}
}

// softwareOf returns the software that the place requests of a message require and that its answers name.
func softwareOf(m *Message) (required []RequiredSoftware, granted []GrantedSoftware) {
	for i := range m.PlaceRequests {
		if r := &m.PlaceRequests[i]; r.Software != "" {
			required = append(required, RequiredSoftware{ID: r.ID, Software: r.Software})
		}
	}
	for i := range m.PlaceResponses {
		if a := &m.PlaceResponses[i]; a.Software != "" {
			granted = append(granted, GrantedSoftware{ID: a.ID, Software: a.Software, Sole: a.Sole})
		}
	}
	return required, granted
}

// applySoftware sets the software of the decoded place requests and answers.
func (m *Message) applySoftware() {
	for _, r := range m.RequiredSoftware {
		if i := slices.IndexFunc(m.PlaceRequests, func(p PlaceRequest) bool { return p.ID == r.ID }); i >= 0 {
			m.PlaceRequests[i].Software = r.Software
		}
	}
	for _, g := range m.GrantedSoftware {
		if i := slices.IndexFunc(m.PlaceResponses, func(p PlaceResponse) bool { return p.ID == g.ID }); i >= 0 {
			m.PlaceResponses[i].Software, m.PlaceResponses[i].Sole = g.Software, g.Sole
		}
	}
}

// checkStreams returns an error if there are too many rows, or if a name is too long or a time out of range.
func (m *Message) checkStreams() error {
	if len(m.EndedStreams) > MaxEndedStreams {
		return errors.Errorf("%d ended streams", len(m.EndedStreams))
	}
	for _, rows := range [][]StreamRow{m.StreamRows, m.DurableRows} {
		if err := checkRows(rows); err != nil {
			return err
		}
	}
	for i := range m.StreamAnswers {
		if a := &m.StreamAnswers[i]; max(len(a.Service), len(a.Software)) > maxNameBytes || streams.Basis(a.Basis) > streams.MaxBasis {
			return errors.Errorf("answer for a stream with basis %d, or with a name that is too long", a.Basis)
		}
	}
	return nil
}

func checkRows(rows []StreamRow) error {
	if len(rows) > MaxStreamRows {
		return errors.Errorf("%d stream rows", len(rows))
	}
	for i := range rows {
		r := &rows[i]
		if max(len(r.Service), len(r.Software)) > maxNameBytes || r.LeftMS < 0 || r.LeftMS > streams.MaxLife.Milliseconds() {
			return errors.Errorf("stream row that is valid for %d ms, or with a name that is too long", r.LeftMS)
		}
	}
	return nil
}

// StreamWriter returns the address of the instance that keeps the durable rows of the local availability zone in the
// platform's store: its first placer in rank, so that few write one object. It returns "" if that is this instance, or if
// there is none.
func (c *Core) StreamWriter() string {
	if followers := c.platformFollowers(); len(followers) > 0 && followers[0] != c.selfMember {
		return followers[0].Address
	}
	return ""
}

// ZoneCount returns the number of availability zones with known instances, this one included.
func (c *Core) ZoneCount() int {
	zones := map[string]bool{c.selfMember.Zone: true}
	for _, m := range c.members {
		zones[m.Zone] = true
	}
	return len(zones)
}

// Holders returns the addresses of the instances that keep copies of a row.
func (c *Core) Holders(key streams.Key) []string {
	if len(c.members) <= maxAskAll {
		return c.Addresses()
	}
	return c.rankHolders(key, streamCopies)
}

// StreamTargets returns the addresses of the instances to ask for the origin of a stream. One more holder than there are
// copies is asked, as this instance itself may be one at the instance that sent them, and the placer of this instance,
// which has a list of upstreams.
func (c *Core) StreamTargets(key streams.Key) []string {
	if len(c.members) <= maxAskAll {
		return c.Addresses()
	}
	to := c.rankHolders(key, streamCopies+1)
	if placer := c.Placer(); placer != "" && !slices.Contains(to, placer) {
		to = append(to, placer)
	}
	return to
}

// rankHolders returns the addresses of at most n instances in the order of a hash of the key and their names, the first
// one of each availability zone before the others. It chooses from the first instances in rank of each zone: all others
// know these, whereas most instances of a large zone know only some of the rest.
func (c *Core) rankHolders(key streams.Key, n int) []string {
	var ranked []*member
	for _, address := range c.Successors() {
		ranked = append(ranked, c.members[address])
	}
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Compare(holderWeight(key, a.hash), holderWeight(key, b.hash))
	})
	var first, others []string
	zones := make(map[string]bool)
	for _, m := range ranked {
		if zones[m.Zone] {
			others = append(others, m.Address)
			continue
		}
		zones[m.Zone] = true
		first = append(first, m.Address)
	}
	out := append(first, others...)
	return out[:min(n, len(out))]
}

// holderWeight returns the rank of an instance, given by the hash of its name, as a holder of a row.
func holderWeight(key streams.Key, name uint64) uint64 {
	var data [16]byte
	for i := range 8 {
		data[i], data[8+i] = byte(key>>(8*i)), byte(name>>(8*i))
	}
	return xxhash.Sum64(data[:])
}
