package settings

// TLS names the PEM files of a listening port's certificate. The zero value stands for
// plain TCP. Certificate and key are reloaded when their files change.
type TLS struct {
	CertFile     string `json:"certFile,omitempty"`
	KeyFile      string `json:"keyFile,omitempty"`
	ClientCAFile string `json:"clientCAFile,omitempty"` // if set, clients must present a certificate of one of these authorities
}

// Secret names the file or the environment variable that holds a secret, at most one of
// them. Settings files do not contain secrets themselves.
type Secret struct {
	File string `json:"file,omitempty"`
	Env  string `json:"env,omitempty"`
}

// Listener configures a listening port.
type Listener struct {
	Address string `json:"address"` // host:port
	TLS     TLS    `json:"tls,omitempty"`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	Address        string  `json:"address"` // base URL
	Key            Secret  `json:"key,omitempty"`
	CallsPerSecond float64 `json:"callsPerSecond"` // rate limit of this process; an open watch counts as a call
	TimeoutMS      int     `json:"timeoutMS"`
	CAFile         string  `json:"caFile,omitempty"` // PEM file of trusted certificate authorities; empty: those of the system
}

// Instance identifies this process.
type Instance struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Peer configures the connections to other daemons.
type Peer struct {
	Listen      Listener `json:"listen"`
	Advertise   string   `json:"advertise,omitempty"` // host:port that others dial; default: the listening address
	SharedKey   Secret   `json:"sharedKey,omitempty"`
	CAFile      string   `json:"caFile,omitempty"` // PEM file of authorities that are trusted when dialing; empty: those of the system
	Seeds       []string `json:"seeds,omitempty"`  // host:port of peers to dial while no other daemon is known
	MaxLinks    int      `json:"maxLinks"`         // approximate limit of the connections to peers, see member.Neighbors
	HeartbeatMS int      `json:"heartbeatMS"`      // interval between heartbeats
}

// Operators configures the operators' port, which serves readiness, liveness, metrics,
// drain state, members and explain. Without a Key, requests need no authentication.
type Operators struct {
	Listen Listener `json:"listen"`
	Key    Secret   `json:"key,omitempty"`
}

// Stop sets the times of a graceful stop.
type Stop struct {
	BalancerMS int `json:"balancerMS"` // gateways: time from failing readiness to closing the listeners
	DrainMS    int `json:"drainMS"`    // time that the requests in flight at a gateway, or the open orders of a controller, have to finish
}

// Gateway holds the settings of ragwort-gateway.
type Gateway struct {
	Instance  Instance  `json:"instance"`
	Listen    Listener  `json:"listen"`
	Platform  Platform  `json:"platform"`
	Peer      Peer      `json:"peer"`
	Operators Operators `json:"operators"`
	Stop      Stop      `json:"stop"`
	Limits    Limits    `json:"limits"`
}

// Limits limits the work that callers may send to one gateway.
type Limits struct {
	BodyBytes         int64   `json:"bodyBytes"`         // size of a request body
	MemoryMB          int     `json:"memoryMB"`          // memory of the instance in MiB; what is held for callers is bounded by a share of it
	Descriptors       int     `json:"descriptors"`       // files and sockets that the process may have open; 0: the limit that the kernel sets
	QueueRequests     int     `json:"queueRequests"`     // requests in the queue
	QueueTokens       int     `json:"queueTokens"`       // tokens of the requests in the queue
	DefaultDeadlineMS int     `json:"defaultDeadlineMS"` // deadline of requests that name none
	RetryShare        float64 `json:"retryShare"`        // retries as a share of requests
	EjectShare        float64 `json:"ejectShare"`        // share of the upstreams that may be ejected as outliers
	ClaimKeepSeconds  int     `json:"claimKeepSeconds"`  // approximate time for which idempotency claims are kept
}

// Controller holds the settings of ragwort-controller.
type Controller struct {
	Instance  Instance  `json:"instance"`
	Platform  Platform  `json:"platform"`
	Peer      Peer      `json:"peer"`
	Operators Operators `json:"operators"`
	Stop      Stop      `json:"stop"`
	Lease     Lease     `json:"lease"`
	Policy    Policy    `json:"policy"`
}

// Lease sets the times of the leases of availability zones.
type Lease struct {
	TTLMS       int `json:"ttlMS"`       // time after which a lease expires that is not renewed
	MarginMS    int `json:"marginMS"`    // the holder stops sending orders this long before its lease expires
	OrderLifeMS int `json:"orderLifeMS"` // maximum time that an order may be in flight on a connection
}

// Policy configures the role policy and the rate of weight loads.
type Policy struct {
	RoleChangePrice      float64 `json:"roleChangePrice"`      // useful responses that a role change must gain beyond its losses
	HorizonSeconds       float64 `json:"horizonSeconds"`       // period over which gains and losses are counted
	WeightLoadsPerMinute float64 `json:"weightLoadsPerMinute"` // maximum rate of loads from the weight store, over all zones
}
