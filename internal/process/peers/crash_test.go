package peers

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

func crashes(n int) []quarantine.Crash {
	out := make([]quarantine.Crash, n)
	for i := range out {
		out[i] = quarantine.Crash{
			Content: quarantine.ContentOf("POST", "h", "/a", []byte{byte(i)}), Upstream: 1 << 31,
			Sent: at(-time.Minute), At: at(-time.Second), Void: i%2 == 0,
		}
	}
	return out
}

// TestCrashesAreToldByTheirAge has the receiver's clock be an hour ahead.
func TestCrashesAreToldByTheirAge(t *testing.T) {
	told := crashes(2)
	data, err := Encode(Message{Crashes: CrashesOf(at(0), told)})
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range m.Told(at(time.Hour)) {
		want := told[i]
		want.Sent, want.At = want.Sent.Add(time.Hour), want.At.Add(time.Hour)
		if !c.Sent.Equal(want.Sent) || !c.At.Equal(want.At) || c.Content != want.Content || c.Upstream != want.Upstream || c.Void != want.Void {
			t.Errorf("told %+v, heard %+v", want, c)
		}
	}
}

// TestACrashOfSeveralWordsIsUnderstood has its newest send be later than its earliest break.
func TestACrashOfSeveralWordsIsUnderstood(t *testing.T) {
	told := crashes(1)
	told[0].Sent = told[0].At.Add(time.Millisecond)
	data, err := Encode(Message{Crashes: CrashesOf(at(0), told)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); err != nil {
		t.Error(err)
	}
}

func TestCrashesFitIntoOneDatagram(t *testing.T) {
	m := Message{Sender: &Peer{Name: "an-instance-with-a-long-name-1", Zone: "a-zone-of-some-region", Address: "10.200.100.100:65535"}, Crashes: CrashesOf(at(0), crashes(2*MaxCrashes))}
	data, err := Encode(m)
	if err != nil || len(data) > MaxMessageBytes {
		t.Errorf("%d bytes (%v), %d may go into one message", len(data), err, MaxMessageBytes)
	}
	if len(m.Crashes) != MaxCrashes {
		t.Errorf("%d crashes in a message", len(m.Crashes))
	}
}

func TestCrashesThatMakeNoSenseAreRefused(t *testing.T) {
	for name, c := range map[string]Crash{
		"no content":        {SentUS: 2, AtUS: 1},
		"a long content":    {Content: make([]byte, 17), SentUS: 2, AtUS: 1},
		"in the future":     {Content: make([]byte, 16), SentUS: 2, AtUS: -1},
		"sent after it was": {Content: make([]byte, 16), SentUS: 1, AtUS: 2},
	} {
		data, err := Encode(Message{Crashes: []Crash{c}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
