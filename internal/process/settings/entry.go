package settings

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
)

// Entry holds the settings of ragwort-entry.
type Entry struct {
	Instance    Instance         `json:"instance"`
	Listen      EntryListen      `json:"listen"`
	Store       string           `json:"store"` // host:port of the platform's object store
	StoreLimits EntryStoreLimits `json:"storeLimits"`
	Bounds      EntryBounds      `json:"bounds"`
	Limits      EntryLimits      `json:"limits"`
	Logging     EntryLogging     `json:"logging"`
	Roles       EntryRoles       `json:"roles"`
	Duties      EntryDuties      `json:"duties"`
	Usage       EntryUsage       `json:"usage"`
	Scaling     EntryScaling     `json:"scaling"`
}

// EntryStoreLimits holds the limits of the platform's object store.
type EntryStoreLimits struct {
	WritesPerSecond float64 `json:"writesPerSecond"` // writes that the store accepts from all instances together
}

// EntryScaling controls which engines are ordered from the platform for services that can
// be scaled.
type EntryScaling struct {
	// LastingShare sets how many engines must be lasting, that is, not revocable by the
	// platform, as a share of the engines found initially. It ranges from 0 to 1; with 1,
	// no engine is replaced by a cheaper, revocable one.
	LastingShare float64 `json:"lastingShare"`
	// CostShare limits the cost of the engines to a share, from 0 to 1, of the price of the
	// engines found initially. The limit doesn't apply if it pays for fewer engines than
	// those found initially.
	CostShare float64 `json:"costShare"`
}

// EntryDuties configures the duties: calls to the platform that one instance makes on
// behalf of all.
type EntryDuties struct {
	Address string   `json:"address"` // host:port that is called; empty: no duties
	Kinds   []string `json:"kinds"`   // kinds of duties, as the platform names them
}

// EntryUsage configures the usage reports of client accounts.
type EntryUsage struct {
	WindowSeconds float64 `json:"windowSeconds"` // length of the period of wall-clock time (window) that a report covers; 0: no reports
	LateSeconds   float64 `json:"lateSeconds"`   // a report that arrives later than this after the end of its window does not count
}

// Window returns the length of the window that a report covers; 0: no reports.
func (u EntryUsage) Window() time.Duration {
	return time.Duration(u.WindowSeconds * float64(time.Second))
}

// MaxReportDelay returns how long after the end of a window its report is accepted.
func (u EntryUsage) MaxReportDelay() time.Duration {
	return time.Duration(u.LateSeconds * float64(time.Second))
}

// EntryRoles controls the roles of the engines of a service.
type EntryRoles struct {
	// PrefillShare is the share of a service's engines that prefill, from 0 to 1;
	// 0: the demand decides.
	PrefillShare float64 `json:"prefillShare"`
}

// EntryListen holds the listening addresses, each host:port.
type EntryListen struct {
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`     // readiness, for the load balancer
	Operators string `json:"operators"` // metrics; empty: none
	Peers     string `json:"peers"`     // messages of other instances, by UDP; empty: the instance shares nothing with them
}

// EntryBounds holds the guarantees that the deployment gives and the requirements that it
// makes.
type EntryBounds struct {
	GraceSeconds       float64 `json:"graceSeconds"`       // from SIGTERM to SIGKILL
	RetryRatio         float64 `json:"retryRatio"`         // allowed retries per request of a service, over all instances
	RetryWindowSeconds float64 `json:"retryWindowSeconds"` // length of the window over which retries are counted
	RetrySlack         float64 `json:"retrySlack"`         // retries per window beyond RetryRatio, over all instances
	HeartbeatMS        int     `json:"heartbeatMS"`        // interval at which upstreams write their entries on the platform
	LeaseMS            int     `json:"leaseMS"`            // minimum time between two changes of the holder of the lease, the instance that may send orders to engines
	FencingEnforced    bool    `json:"fencingEnforced"`    // whether engines refuse orders with an old fencing token
	DrainMS            int     `json:"drainMS"`            // time after which an upstream that is leaving must get no new work
	ConfigMS           int     `json:"configMS"`           // time within which a configuration must be in force everywhere
}

// EntryLimits holds the resource limits of the instance.
type EntryLimits struct {
	MemoryMB    int     `json:"memoryMB"`    // memory of the instance in MiB; what is held for callers is bounded by a share of it
	Descriptors int     `json:"descriptors"` // files and sockets that the process may have open; 0: the limit that the kernel sets
	Cores       float64 `json:"cores"`       // processor cores of the instance; 0: unknown. Instances with more cores are preferred as placers, which choose upstreams for the requests of others
}

// EntryLogging limits the log.
type EntryLogging struct {
	LinesPerSecond int `json:"linesPerSecond"` // limit of lines about ordinary successes; further ones are counted and omitted
}

// Defaults of the settings in Entry, for fields that are missing or zero.
const (
	DefaultGraceSeconds       = 8
	DefaultRetryRatio         = 0.1
	DefaultRetryWindowSeconds = 10
	DefaultRetrySlack         = 20
	DefaultEntryHeartbeatMS   = 1200
	DefaultLeaseMS            = 3000
	DefaultEntryDrainMS       = 2000
	DefaultEntryConfigMS      = 2000
	DefaultMemoryMB           = 256
	DefaultLinesPerSecond     = 20
	DefaultUsageLateSeconds   = 10
	DefaultLastingShare       = 0.2
	DefaultCostShare          = 0.5
	DefaultStoreWrites        = 400 // a second; that of the smallest deployments
)

// LoadEntry reads the settings of an entry process from a file, sets defaults and
// validates the result. All its errors are of kind InvalidSettings.
func LoadEntry(path string) (*Entry, error) {
	s := &Entry{}
	if err := readFile(path, s); err != nil {
		return nil, err
	}
	s.SetDefaults()
	return s, s.Validate()
}

// SetDefaults sets the defaults of fields that are zero.
func (s *Entry) SetDefaults() {
	defaults.Set(&s.Bounds.GraceSeconds, DefaultGraceSeconds)
	defaults.Set(&s.Bounds.RetryRatio, DefaultRetryRatio)
	defaults.Set(&s.Bounds.RetryWindowSeconds, DefaultRetryWindowSeconds)
	defaults.Set(&s.Bounds.RetrySlack, DefaultRetrySlack)
	defaults.Set(&s.Bounds.HeartbeatMS, DefaultEntryHeartbeatMS)
	defaults.Set(&s.Bounds.LeaseMS, DefaultLeaseMS)
	defaults.Set(&s.Bounds.DrainMS, DefaultEntryDrainMS)
	defaults.Set(&s.Bounds.ConfigMS, DefaultEntryConfigMS)
	defaults.Set(&s.Limits.MemoryMB, DefaultMemoryMB)
	defaults.Set(&s.Usage.LateSeconds, DefaultUsageLateSeconds)
	defaults.Set(&s.Scaling.LastingShare, DefaultLastingShare)
	defaults.Set(&s.Scaling.CostShare, DefaultCostShare)
	defaults.Set(&s.Logging.LinesPerSecond, DefaultLinesPerSecond)
	defaults.Set(&s.StoreLimits.WritesPerSecond, DefaultStoreWrites)
}

// Validate returns an InvalidSettings error that names all invalid fields.
func (s *Entry) Validate() error {
	var c validator
	c.require(s.Instance.Name != "", "instance.name", s.Instance.Name, "must not be empty")
	c.require(s.Instance.Zone != "", "instance.zone", s.Instance.Zone, "must not be empty")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.ready", s.Listen.Ready)
	c.address("store", s.Store)
	if s.Listen.Operators != "" {
		c.address("listen.operators", s.Listen.Operators)
	}
	if s.Listen.Peers != "" {
		c.address("listen.peers", s.Listen.Peers)
	}
	b := s.Bounds
	c.require(b.GraceSeconds > 0, "bounds.graceSeconds", b.GraceSeconds, "must be greater than zero")
	c.require(b.RetryRatio >= 0, "bounds.retryRatio", b.RetryRatio, "must not be negative")
	c.require(b.RetryWindowSeconds > 0, "bounds.retryWindowSeconds", b.RetryWindowSeconds, "must be greater than zero")
	c.require(b.RetrySlack >= 0, "bounds.retrySlack", b.RetrySlack, "must not be negative")
	c.require(b.HeartbeatMS > 0, "bounds.heartbeatMS", b.HeartbeatMS, "must be greater than zero")
	c.require(b.LeaseMS > 0, "bounds.leaseMS", b.LeaseMS, "must be greater than zero")
	c.require(b.DrainMS > 0, "bounds.drainMS", b.DrainMS, "must be greater than zero")
	c.require(b.ConfigMS > 0, "bounds.configMS", b.ConfigMS, "must be greater than zero")
	c.require(s.StoreLimits.WritesPerSecond > 0, "storeLimits.writesPerSecond", s.StoreLimits.WritesPerSecond, "must be greater than zero")
	c.require(s.Limits.Cores >= 0, "limits.cores", s.Limits.Cores, "must not be negative")
	c.require(s.Limits.Descriptors >= 0, "limits.descriptors", s.Limits.Descriptors, "must not be negative")
	c.require(s.Limits.MemoryMB > 0, "limits.memoryMB", s.Limits.MemoryMB, "must be greater than zero")
	if s.Duties.Address != "" {
		c.address("duties.address", s.Duties.Address)
	}
	c.require(s.Usage.WindowSeconds >= 0, "usage.windowSeconds", s.Usage.WindowSeconds, "must not be negative")
	c.require(s.Usage.LateSeconds > 0, "usage.lateSeconds", s.Usage.LateSeconds, "must be greater than zero")
	c.share("scaling.lastingShare", s.Scaling.LastingShare)
	c.share("scaling.costShare", s.Scaling.CostShare)
	c.share("roles.prefillShare", s.Roles.PrefillShare)
	c.require(s.Logging.LinesPerSecond > 0, "logging.linesPerSecond", s.Logging.LinesPerSecond, "must be greater than zero")
	return c.result()
}

// StopGracePeriod returns the time from SIGTERM to SIGKILL.
func (b EntryBounds) StopGracePeriod() time.Duration {
	return time.Duration(b.GraceSeconds * float64(time.Second))
}

// ChangeDeadline returns the time within which any change that the platform reports must be in
// force: the shorter one of DrainMS and ConfigMS.
func (b EntryBounds) ChangeDeadline() time.Duration {
	return time.Duration(min(b.DrainMS, b.ConfigMS)) * time.Millisecond
}

// Heartbeat returns the interval at which upstreams write their entries on the platform.
func (b EntryBounds) Heartbeat() time.Duration {
	return time.Duration(b.HeartbeatMS) * time.Millisecond
}

// RetryWindow returns the time over which retries are counted.
func (b EntryBounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowSeconds * float64(time.Second))
}

// ParseEntry is like LoadEntry for settings in memory, for tests and tools.
func ParseEntry(raw []byte) (*Entry, error) {
	s := &Entry{}
	if err := Parse(raw, s); err != nil {
		return nil, err
	}
	s.SetDefaults()
	return s, s.Validate()
}
