package settings

// TLS is the certificate of one listening port. Empty: plain TCP. Files are
// read again when they change.
type TLS struct {
	CertFile     string `json:"certFile,omitempty"`
	KeyFile      string `json:"keyFile,omitempty"`
	ClientCAFile string `json:"clientCAFile,omitempty"` // asks for client certificates
}

// Secret comes from a file or from an environment variable, never from the settings themselves.
type Secret struct {
	File string `json:"file,omitempty"`
	Env  string `json:"env,omitempty"`
}

// Listener is one listening port.
type Listener struct {
	Address string `json:"address"` // host:port
	TLS     TLS    `json:"tls,omitempty"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	Address        string  `json:"address"` // base URL
	Key            Secret  `json:"key,omitempty"`
	CallsPerSecond float64 `json:"callsPerSecond"` // budget of this process; a waiting watch counts as a call
	TimeoutMS      int     `json:"timeoutMS"`
	CAFile         string  `json:"caFile,omitempty"`
}

// Instance says who this process is.
type Instance struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Peer says how this process talks to the others.
type Peer struct {
	Listen      Listener `json:"listen"`
	Advertise   string   `json:"advertise,omitempty"` // host:port that others dial; default: the listening address
	SharedKey   Secret   `json:"sharedKey,omitempty"`
	CAFile      string   `json:"caFile,omitempty"`
	Seeds       []string `json:"seeds,omitempty"` // host:port of peers to try when the platform is out
	MaxLinks    int      `json:"maxLinks"`        // bound on peer connections that this process opens
	HeartbeatMS int      `json:"heartbeatMS"`
}

// Operators is the operators' port: ready, live, metrics, drain state, explain.
type Operators struct {
	Listen Listener `json:"listen"`
	Key    Secret   `json:"key,omitempty"`
}

// Stop bounds a planned stop.
type Stop struct {
	BalancerMS int `json:"balancerMS"` // readiness fails this long before listeners close
	DrainMS    int `json:"drainMS"`    // streams may run this long before they are handed on
}

// Gateway is the settings file of ragwort-gateway.
type Gateway struct {
	Instance  Instance  `json:"instance"`
	Listen    Listener  `json:"listen"`
	Platform  Platform  `json:"platform"`
	Peer      Peer      `json:"peer"`
	Operators Operators `json:"operators"`
	Stop      Stop      `json:"stop"`
	Limits    Limits    `json:"limits"`
}

// Limits bounds what callers may ask of one gateway.
type Limits struct {
	BodyBytes         int64   `json:"bodyBytes"`
	QueueRequests     int     `json:"queueRequests"`
	QueueTokens       int     `json:"queueTokens"`
	DefaultDeadlineMS int     `json:"defaultDeadlineMS"`
	RetryShare        float64 `json:"retryShare"` // retries as a share of requests
	EjectShare        float64 `json:"ejectShare"` // largest share of upstreams ejected as outliers
	ClaimKeepSeconds  int     `json:"claimKeepSeconds"`
}

// Controller is the settings file of ragwort-controller.
type Controller struct {
	Instance  Instance  `json:"instance"`
	Platform  Platform  `json:"platform"`
	Peer      Peer      `json:"peer"`
	Operators Operators `json:"operators"`
	Stop      Stop      `json:"stop"`
	Lease     Lease     `json:"lease"`
	Policy    Policy    `json:"policy"`
}

// Lease bounds authority.
type Lease struct {
	TTLMS       int `json:"ttlMS"`
	MarginMS    int `json:"marginMS"`    // the holder stops ordering this long before the lease ends
	OrderLifeMS int `json:"orderLifeMS"` // longest time an order may be under way on a connection
}

// Policy is the role policy in users' terms.
type Policy struct {
	RoleChangePrice      float64 `json:"roleChangePrice"` // useful answers that a role change must gain beyond its losses
	HorizonSeconds       float64 `json:"horizonSeconds"`
	WeightLoadsPerMinute float64 `json:"weightLoadsPerMinute"` // rate of the weight store
}
