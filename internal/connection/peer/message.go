package peer

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// ProtocolVersion is the version of the messages below. A daemon also accepts the previous
// and the next version (see OldestVersion), so that daemons of two versions stay connected
// during a rolling restart.
const ProtocolVersion = 1

// MaxMessageBytes bounds the size of one encoded message, compressed or not.
const MaxMessageBytes = 4 << 20

// Envelope is the outer structure of every message. At most one body is set: one of the
// fields from Hello on. A message whose body is unknown to this daemon has none.
type Envelope struct {
	V    int    `cbor:"1,keyasint"`           // ProtocolVersion
	From string `cbor:"2,keyasint,omitempty"` // name of the sender; the receiver replaces it by the name authenticated in the handshake
	Call uint64 `cbor:"3,keyasint,omitempty"` // call number; zero: no answer is expected
	Re   uint64 `cbor:"4,keyasint,omitempty"` // call number that this message answers

	Hello           *Hello           `cbor:"10,keyasint,omitempty"`
	Heartbeat       *Heartbeat       `cbor:"11,keyasint,omitempty"`
	Delta           *ConfigDelta     `cbor:"12,keyasint,omitempty"`
	Fetch           *ConfigFetch     `cbor:"13,keyasint,omitempty"`
	Snapshot        *ConfigSnapshot  `cbor:"14,keyasint,omitempty"`
	Use             *UseReport       `cbor:"15,keyasint,omitempty"`
	Claim           *ClaimRequest    `cbor:"16,keyasint,omitempty"`
	ClaimResponse   *ClaimResponse   `cbor:"17,keyasint,omitempty"`
	Explain         *ExplainRequest  `cbor:"18,keyasint,omitempty"`
	ExplainResponse *ExplainResponse `cbor:"19,keyasint,omitempty"`

	Crashes []quarantine.CrashReport `cbor:"21,keyasint,omitempty"`

	// Packed is a whole Envelope, encoded and compressed. Of the other fields only V is set
	// then. Encode and Decode set and unpack it, so other code never sees it.
	Packed []byte `cbor:"20,keyasint,omitempty"`
}

// Hello identifies a daemon in the handshake.
type Hello struct {
	Name        string `cbor:"1,keyasint"` // instance name
	Role        string `cbor:"2,keyasint"` // gateway or controller
	Zone        string `cbor:"3,keyasint"`
	PeerAddress string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"` // differs for each process start, see member.NewIncarnation

	Nonce []byte `cbor:"6,keyasint,omitempty"` // random, new for each connection
	MAC   []byte `cbor:"7,keyasint,omitempty"` // proves the shared key, see handshake.go
}

// MemberRow is what the sender knows about one daemon. It is sent on to peers when a field
// other than Beat and Applied changes, and periodically.
type MemberRow struct {
	Name        string `cbor:"1,keyasint"`
	Role        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	PeerAddress string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Beat        uint64 `cbor:"6,keyasint"` // number of heartbeats that the daemon itself has sent
	Applied     uint64 `cbor:"7,keyasint"` // configuration version in force at the daemon
	Leaving     bool   `cbor:"8,keyasint,omitempty"`
	Suspected   bool   `cbor:"9,keyasint,omitempty"` // a peer of the daemon has received nothing from it since Beat
}

// HeartbeatRow is the short form of a MemberRow in which nothing but Beat and Applied changed.
// It is encoded as an array of three numbers, because most of the traffic consists of these
// rows. The order of the fields is the order in the array.
type HeartbeatRow struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32   // see member.RowID
	Beat uint64
	Lag  int64 // configuration version of the heartbeat's sender (Heartbeat.Applied) minus that of this row's daemon (MemberRow.Applied)
}

// Heartbeat carries the sender's own state and what it has learned about other
// daemons since its previous heartbeat.
type Heartbeat struct {
	Beat    uint64         `cbor:"1,keyasint"`
	Applied uint64         `cbor:"2,keyasint"`
	Rows    []MemberRow    `cbor:"3,keyasint,omitempty"`
	Beats   []HeartbeatRow `cbor:"4,keyasint,omitempty"`
}

// ConfigDelta carries the changes after version Base up to version Version.
type ConfigDelta struct {
	Base    uint64           `cbor:"1,keyasint"`
	Version uint64           `cbor:"2,keyasint"`
	Events  []platform.Event `cbor:"3,keyasint"`
	// Complete is true if Events holds every change after Base, so that a receiver
	// that already has some of them can apply the rest. Otherwise Events is the
	// difference between the two versions and applies to Base only.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// ConfigFetch requests every change after KnownVersion.
type ConfigFetch struct {
	KnownVersion uint64 `cbor:"1,keyasint"`
}

// ConfigSnapshot is the whole configuration. It answers a ConfigFetch if the sender
// no longer has every change after KnownVersion.
type ConfigSnapshot struct {
	Version uint64         `cbor:"1,keyasint"`
	Objects []ConfigObject `cbor:"2,keyasint"`
}

// ConfigObject is the newest version of an object and, if that is invalid, the last
// valid one.
type ConfigObject struct {
	Newest   platform.Object  `cbor:"1,keyasint"`
	LastGood *platform.Object `cbor:"2,keyasint,omitempty"` // set when Newest is invalid
}

// UseRow is the work that a gateway sent to a runner since the gateway's previous report.
type UseRow struct {
	Runner   string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"` // change of the number of requests in flight; may be negative
	Prefill  int    `cbor:"3,keyasint"` // prompt tokens sent
	Decode   int    `cbor:"4,keyasint"` // output tokens expected for the requests sent
	Done     int    `cbor:"5,keyasint"` // output tokens received
}

// AccountRow is the usage of a client account at one gateway since its previous
// report.
type AccountRow struct {
	Account  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	InFlight int    `cbor:"3,keyasint"` // tokens in flight at the time of the report; not a change since the previous one
}

// DemandRow is the demand that a gateway admitted or refused since its previous report.
type DemandRow struct {
	Model   string `cbor:"1,keyasint"`
	Prefill int    `cbor:"2,keyasint"`           // predicted prompt tokens that are in no cache
	Decode  int    `cbor:"3,keyasint"`           // expected output tokens
	Arrived int    `cbor:"4,keyasint"`           // requests
	Late    int    `cbor:"5,keyasint"`           // requests that were late, or refused for lack of capacity
	Route   string `cbor:"6,keyasint,omitempty"` // empty: not reported
}

// UseReport is the usage at one gateway since its previous report. A gateway sends one about
// every second.
type UseReport struct {
	Origin   string       `cbor:"1,keyasint"` // name of the gateway
	Sequence uint64       `cbor:"2,keyasint"` // number of the report at this gateway
	Runners  []UseRow     `cbor:"3,keyasint,omitempty"`
	Accounts []AccountRow `cbor:"4,keyasint,omitempty"`
	Demand   []DemandRow  `cbor:"5,keyasint,omitempty"`
}

// ClaimOp is the operation that a ClaimRequest requests.
type ClaimOp uint8

// The claim operations. Each is idempotent.
const (
	ClaimCreate   ClaimOp = 1 // record a claim if the key has none
	ClaimTakeover ClaimOp = 2 // record that another caller has joined the claim; its runner never changes after that
	ClaimMove     ClaimOp = 3 // change the runner; only the holder may, once its request provably did not run at the previous one
	ClaimRelease  ClaimOp = 4 // remove the claim; only the holder may, if it sent no request or none of those sent provably ran
	ClaimLookup   ClaimOp = 5 // read the claim
)

// ClaimRequest asks the daemon that stores a bucket to record, read or change a claim.
type ClaimRequest struct {
	Account      string  `cbor:"1,keyasint"`
	KeyHash      []byte  `cbor:"2,keyasint"`
	BodyHash     []byte  `cbor:"3,keyasint"`
	Holder       string  `cbor:"4,keyasint"` // gateway that will send the request to the runner
	Runner       string  `cbor:"5,keyasint"`
	Incarnation  string  `cbor:"6,keyasint"`           // of the runner
	RunID        string  `cbor:"7,keyasint"`           // chosen by the requesting session; distinguishes its claim from others
	ExpectSerial uint64  `cbor:"8,keyasint,omitempty"` // for ClaimMove: change the claim only if its Serial (see ClaimResponse) is this one
	Op           ClaimOp `cbor:"9,keyasint"`
}

// ClaimResponse is the claim as it stands after a ClaimRequest.
type ClaimResponse struct {
	Granted     bool   `cbor:"1,keyasint"`           // the requested operation is in effect
	Kind        string `cbor:"2,keyasint,omitempty"` // error kind if the request was refused
	BodyHash    []byte `cbor:"3,keyasint,omitempty"`
	Holder      string `cbor:"4,keyasint,omitempty"`
	Attempt     int    `cbor:"5,keyasint,omitempty"` // 1: no other caller has joined, so the holder may change the runner; 2: the runner never changes again
	Serial      uint64 `cbor:"6,keyasint,omitempty"` // number of changes of this claim so far
	Runner      string `cbor:"7,keyasint,omitempty"`
	Incarnation string `cbor:"8,keyasint,omitempty"`
	RunID       string `cbor:"9,keyasint,omitempty"`  // empty: no claim is known
	Absent      bool   `cbor:"10,keyasint,omitempty"` // the key had no claim at some time after the request arrived
	Written     bool   `cbor:"11,keyasint,omitempty"` // refused, but a write for this request may still take effect
}

// ExplainRequest asks a daemon what it knows about a request or about a change. One of the
// fields is set.
type ExplainRequest struct {
	Request string `cbor:"1,keyasint,omitempty"`
	Change  string `cbor:"2,keyasint,omitempty"`
}

// ExplainResponse lists what the daemon knows, one fact in each line.
type ExplainResponse struct {
	Lines []string `cbor:"1,keyasint,omitempty"`
}

// Handler receives the events and messages of a Hub. Its methods are called one at a
// time for each peer and must not block.
type Handler interface {
	// Connected is called when a peer is connected. It is not called when a connection
	// replaces another one to the same process of the peer.
	Connected(h Hello)
	// Disconnected is called when a peer is no longer connected: its connection has ended
	// and no other one has replaced it, or a new process of the peer has connected.
	Disconnected(name string)
	// Receive handles a message. If the message is a call, the Hub sends a non-nil result
	// to the peer as the answer to this call; otherwise it ignores the result.
	Receive(from Hello, e Envelope) *Envelope
}
