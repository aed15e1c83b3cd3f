package peers

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
)

// olderMessage has those fields of a message that instances read before versions of software were sent.
type olderMessage struct {
	PlaceRequests  []cbor.RawMessage `cbor:"8,keyasint,omitempty"`
	PlaceResponses []cbor.RawMessage `cbor:"9,keyasint,omitempty"`
}

// TestOlderInstancesReadPlaceRequests guards against a roll-out in which instances of two releases don't understand each
// other's place requests: these are arrays, which have to keep their length.
func TestOlderInstancesReadPlaceRequests(t *testing.T) {
	data, err := Encode(Message{
		PlaceRequests:  []PlaceRequest{{ID: 7, Service: "llm", Software: "v1"}},
		PlaceResponses: []PlaceResponse{{ID: 8, Software: "v1", Sole: true, At: &PlaceUpstream{ID: "a"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var older olderMessage
	if err := cbor.Unmarshal(data, &older); err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]struct {
		array cbor.RawMessage
		want  int
	}{"place request": {older.PlaceRequests[0], 19}, "answer": {older.PlaceResponses[0], 13}} {
		var fields []any
		if err := cbor.Unmarshal(c.array, &fields); err != nil || len(fields) != c.want {
			t.Errorf("%s: %d fields, want %d: %v", what, len(fields), c.want, err)
		}
	}
	m, err := Decode(data)
	if err != nil || m.PlaceRequests[0].Software != "v1" || m.PlaceResponses[0].Software != "v1" || !m.PlaceResponses[0].Sole {
		t.Errorf("decoded %+v %v", m, err)
	}
}

// TestStreamMessagesRoundTrip checks rows, queries and answers.
func TestStreamMessagesRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	row := streams.Row{Key: 5, Origin: streams.Origin{Service: "llm", Software: "v1"}, Expires: now.Add(time.Second)}
	answer := streams.Answer{Basis: streams.ByRow, Origin: row.Origin}
	data, err := Encode(Message{
		StreamRows: []StreamRow{StreamRowOf(now, row)}, StreamQueries: []StreamQuery{{ID: 1, Key: 5, Service: "llm"}},
		StreamAnswers: []StreamAnswer{StreamAnswerOf(1, answer)},
		DurableRows:   []StreamRow{StreamRowOf(now, row)}, EndedStreams: []uint64{6},
	})
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(data)
	if err == nil && (m.DurableRows[0].Row(now) != row || m.EndedStreams[0] != 6) {
		t.Errorf("decoded durable rows %+v, ended %v", m.DurableRows, m.EndedStreams)
	}
	if err != nil || m.StreamRows[0].Row(now) != row || m.StreamQueries[0].Key != 5 || m.StreamAnswers[0].Answer() != answer {
		t.Errorf("decoded %+v %v", m, err)
	}
}

// TestInvalidStreamMessagesAreRefused checks the limits on what another instance may send.
func TestInvalidStreamMessagesAreRefused(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	for name, m := range map[string]Message{
		"too many rows":  {StreamRows: make([]StreamRow, MaxStreamRows+1)},
		"a long name":    {StreamRows: []StreamRow{{Software: long}}},
		"a negative age": {StreamRows: []StreamRow{{LeftMS: -1}}},
		"a long life":    {StreamRows: []StreamRow{{LeftMS: streams.MaxLife.Milliseconds() + 1}}},
		"a long answer":  {StreamAnswers: []StreamAnswer{{Service: long}}},
		"many durable":   {DurableRows: make([]StreamRow, MaxStreamRows+1)},
		"a durable life": {DurableRows: []StreamRow{{LeftMS: streams.MaxLife.Milliseconds() + 1}}},
		"many ended":     {EndedStreams: make([]uint64, MaxEndedStreams+1)},
		"another basis":  {StreamAnswers: []StreamAnswer{{Basis: 9}}},
	} {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// TestRowsFitIntoAMessage checks that a message with the maximum number of rows isn't fragmented.
func TestRowsFitIntoAMessage(t *testing.T) {
	name := string(make([]byte, 64))
	rows := slices.Repeat([]StreamRow{{Key: 1 << 63, Service: name, Software: name, LeftMS: 1 << 19}}, MaxStreamRows)
	for _, m := range []Message{{StreamRows: rows}, {DurableRows: rows}, {EndedStreams: slices.Repeat([]uint64{1 << 63}, MaxEndedStreams)}} {
		data, err := Encode(m)
		if err != nil || len(data) > MaxMessageBytes {
			t.Errorf("%d bytes, at most %d fit: %v", len(data), MaxMessageBytes, err)
		}
	}
}

// TestStreamWriter checks that all instances of an availability zone hand their rows over to the same one.
func TestStreamWriter(t *testing.T) {
	now := time.Unix(1000, 0)
	var all []Peer
	for i := range 40 {
		all = append(all, Peer{Name: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%2), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	writers := make(map[string]map[string]bool) // addresses by zone
	for _, self := range all {
		c := New(self, 1)
		c.SetListed(now, all)
		writer := cmp.Or(c.StreamWriter(), self.Address)
		if m := c.members[writer]; writer != self.Address && m.Zone != self.Zone {
			t.Errorf("the writer of zone %s is in zone %s", self.Zone, m.Zone)
		}
		if writers[self.Zone] == nil {
			writers[self.Zone] = make(map[string]bool)
		}
		writers[self.Zone][writer] = true
	}
	if len(writers["z0"]) != 1 || len(writers["z1"]) != 1 {
		t.Errorf("writers %v", writers)
	}
	if alone := New(all[0], 1); alone.StreamWriter() != "" {
		t.Error("an instance that knows no other one doesn't write itself")
	}
}

// TestHolders checks that in a large deployment the holders of a row are few and in several zones, that an instance with
// another view of the members asks most of them, and that all streams together spread over many holders.
func TestHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	var all []Peer
	for i := range 2000 {
		all = append(all, Peer{Name: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%9), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)})
	}
	sender, asker := New(all[0], 1), New(all[1], 1)
	sender.SetListed(now, all)
	asker.SetListed(now, all[:1900])
	used, found := make(map[string]bool), 0
	const keys = 500
	for key := range streams.Key(keys) {
		holders, asked := sender.Holders(key*7919), asker.StreamTargets(key*7919)
		zones := make(map[string]bool)
		common := 0
		for _, address := range holders {
			used[address] = true
			zones[sender.members[address].Zone] = true
			if slices.Contains(asked, address) || address == asker.self.Address {
				common++
			}
		}
		if len(holders) != streamCopies || len(zones) != streamCopies || len(asked) > streamCopies+2 {
			t.Fatalf("holders %v in %d zones, %d asked", holders, len(zones), len(asked))
		}
		if common > 0 {
			found++
		}
	}
	if found < keys*99/100 || len(used) < 20 {
		t.Errorf("an asker with another list finds a holder of %d of %d; %d holders are used", found, keys, len(used))
	}
}
