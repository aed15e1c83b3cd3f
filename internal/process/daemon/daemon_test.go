package daemon

import (
	"net"
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

// If one port is occupied, Listen must name its settings field and close the ports that it opened
// before.
func TestListenOpensAllOrNone(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	var first, second net.Listener
	err = Listen(
		Port{"listen", settings.Listener{Address: testport.Address(t)}, &first},
		Port{"peer.listen", settings.Listener{Address: occupied.Addr().String()}, &second},
	)
	if err == nil || !strings.Contains(err.Error(), "peer.listen") {
		t.Fatalf("error %v does not name the field", err)
	}
	reopened, err := net.Listen("tcp", first.Addr().String())
	if err != nil {
		t.Fatalf("the first port was not closed: %v", err)
	}
	reopened.Close()
}

// Keys that the settings do not name must be empty. The error about a key that cannot be read must
// name its settings field.
func TestReadKeysNamesTheField(t *testing.T) {
	t.Setenv("RAGWORT_TEST_A", "a")
	keys, err := ReadKeys(
		settings.Platform{Key: settings.Secret{Env: "RAGWORT_TEST_A"}}, settings.Operators{}, settings.Peer{})
	if err != nil || keys.Platform != "a" || keys.Operators != "" {
		t.Errorf("got %+v, %v", keys, err)
	}
	_, err = ReadKeys(settings.Platform{}, settings.Operators{},
		settings.Peer{SharedKey: settings.Secret{Env: "RAGWORT_TEST_NO_SUCH"}})
	if err == nil || !strings.Contains(err.Error(), "peer.sharedKey") {
		t.Errorf("error %v does not name the field", err)
	}
}

func TestAdvertised(t *testing.T) {
	opened := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7123}
	tests := []struct{ advertise, want string }{
		{"192.0.2.1:7000", "192.0.2.1:7000"},
		{"192.0.2.1:0", "192.0.2.1:7123"},
		{"", "127.0.0.1:7123"},
	}
	for _, tt := range tests {
		if got := AdvertisedAddress(settings.Peer{Advertise: tt.advertise}, opened); got != tt.want {
			t.Errorf("%q: got %q, want %q", tt.advertise, got, tt.want)
		}
	}
}
