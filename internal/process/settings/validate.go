package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

const (
	minHeartbeatMS = 50
	maxDurationMS  = 24 * 60 * 60 * 1000
	maxLinks       = 1024
	maxPort        = 65535

	// minClaimKeepSeconds is the minimum keep time of claims. It must not be less than
	// claim.MinKeep, for a claim must outlive every send of its run.
	minClaimKeepSeconds = 600
)

var instanceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

// validator collects all invalid fields, so that operators see them in one error.
type validator struct {
	fields   []string
	messages []string
}

// require records the field as invalid unless ok. allowed says which values are allowed.
func (c *validator) require(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	c.fields = append(c.fields, field)
	c.messages = append(c.messages, fmt.Sprintf("%s %q: %s", field, fmt.Sprint(value), allowed))
}

// result returns an InvalidSettings error with the messages of all invalid fields and the
// name of the first one, or nil if there are none.
func (c *validator) result() error {
	if len(c.fields) == 0 {
		return nil
	}
	return errkind.Field(errkind.InvalidSettings, c.fields[0], strings.Join(c.messages, "; "))
}

// Validate returns an InvalidSettings error that names all invalid fields.
func (g *Gateway) Validate() error {
	var c validator
	c.instance(g.Instance)
	c.listener("listen", g.Listen)
	c.common(g.Platform, g.Peer, g.Operators, g.Stop)
	c.limits(g.Limits)
	return c.result()
}

// Validate returns an InvalidSettings error that names all invalid fields.
func (s *Controller) Validate() error {
	var c validator
	c.instance(s.Instance)
	c.common(s.Platform, s.Peer, s.Operators, s.Stop)
	c.lease(s.Lease)
	c.policy(s.Policy)
	return c.result()
}

func (c *validator) instance(i Instance) {
	c.require(instanceName.MatchString(i.Name), "instance.name", i.Name, "must be 1 to 64 of a-z 0-9 . -")
	c.require(instanceName.MatchString(i.Zone), "instance.zone", i.Zone, "must name an availability zone in a-z 0-9 . -")
}

// common checks the sections that gateways and controllers share.
func (c *validator) common(p Platform, peer Peer, ops Operators, stop Stop) {
	c.url("platform.address", p.Address)
	c.secret("platform.key", p.Key)
	c.require(p.CallsPerSecond > 0, "platform.callsPerSecond", p.CallsPerSecond, "must be greater than zero")
	c.milliseconds("platform.timeoutMS", p.TimeoutMS, 1)
	c.peer(peer)
	c.listener("operators.listen", ops.Listen)
	c.secret("operators.key", ops.Key)
	c.milliseconds("stop.balancerMS", stop.BalancerMS, 0)
	c.milliseconds("stop.drainMS", stop.DrainMS, 0)
}

func (c *validator) peer(p Peer) {
	c.listener("peer.listen", p.Listen)
	c.address("peer.advertise", p.Advertise)
	c.require(!isUnspecifiedHost(p.Advertise), "peer.advertise", p.Advertise, "must be an address that peers can dial; peer.listen.address stands for every address")
	c.secret("peer.sharedKey", p.SharedKey)
	c.require(p.MaxLinks > 0 && p.MaxLinks <= maxLinks, "peer.maxLinks", p.MaxLinks, "must lie between 1 and 1024")
	c.milliseconds("peer.heartbeatMS", p.HeartbeatMS, minHeartbeatMS)
	hasKey := p.SharedKey.File != "" || p.SharedKey.Env != ""
	hasMutualTLS := p.Listen.TLS.ClientCAFile != ""
	c.require(hasKey || hasMutualTLS, "peer.sharedKey", "", "peers authenticate by a shared key or by peer.listen.tls.clientCAFile")
	for i, seed := range p.Seeds {
		c.address(fmt.Sprintf("peer.seeds[%d]", i), seed)
	}
}

func (c *validator) limits(l Limits) {
	c.require(l.BodyBytes > 0, "limits.bodyBytes", l.BodyBytes, "must be greater than zero")
	c.require(l.MemoryMB > 0, "limits.memoryMB", l.MemoryMB, "must be greater than zero")
	c.require(l.Descriptors >= 0, "limits.descriptors", l.Descriptors, "must not be negative")
	c.require(l.QueueRequests > 0, "limits.queueRequests", l.QueueRequests, "must be greater than zero")
	c.require(l.QueueTokens > 0, "limits.queueTokens", l.QueueTokens, "must be greater than zero")
	c.milliseconds("limits.defaultDeadlineMS", l.DefaultDeadlineMS, 1)
	c.share("limits.retryShare", l.RetryShare)
	c.share("limits.ejectShare", l.EjectShare)
	c.require(l.ClaimKeepSeconds >= minClaimKeepSeconds, "limits.claimKeepSeconds", l.ClaimKeepSeconds, "must be 600 or more, so that a claim outlives every send of its run")
	claimMS := l.ClaimKeepSeconds * 1000
	c.require(claimMS > 2*l.DefaultDeadlineMS, "limits.claimKeepSeconds", l.ClaimKeepSeconds, "a claim must outlive its run: more than twice limits.defaultDeadlineMS")
}

func (c *validator) lease(l Lease) {
	c.milliseconds("lease.ttlMS", l.TTLMS, 1)
	c.milliseconds("lease.orderLifeMS", l.OrderLifeMS, 1)
	c.require(l.MarginMS > 0 && 2*l.MarginMS < l.TTLMS, "lease.marginMS", l.MarginMS, "must be greater than zero and less than half of lease.ttlMS")
}

func (c *validator) policy(p Policy) {
	c.require(p.RoleChangePrice >= 0, "policy.roleChangePrice", p.RoleChangePrice, "must not be negative")
	c.require(p.HorizonSeconds > 0, "policy.horizonSeconds", p.HorizonSeconds, "must be greater than zero")
	c.require(p.WeightLoadsPerMinute > 0, "policy.weightLoadsPerMinute", p.WeightLoadsPerMinute, "must be greater than zero")
}

func (c *validator) listener(field string, l Listener) {
	c.address(field+".address", l.Address)
	complete := (l.TLS.CertFile == "") == (l.TLS.KeyFile == "")
	c.require(complete, field+".tls.keyFile", l.TLS.KeyFile, "certFile and keyFile must be set together")
	c.require(l.TLS.ClientCAFile == "" || l.TLS.CertFile != "", field+".tls.clientCAFile", l.TLS.ClientCAFile, "needs certFile and keyFile")
}

func (c *validator) secret(field string, s Secret) {
	c.require(s.File == "" || s.Env == "", field, s.Env, "set file or env, not both")
}

func (c *validator) url(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, field, value, "must be an http or https URL with a host")
}

func (c *validator) address(field, value string) {
	_, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	ok := err == nil && portErr == nil && number >= 0 && number <= maxPort
	c.require(ok, field, value, "must be host:port")
}

// isUnspecifiedHost reports whether the host of a host:port is empty or unspecified, such
// as 0.0.0.0. Such an address can be listened on but not dialed from other machines.
func isUnspecifiedHost(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}

// milliseconds checks a duration, which may be at most a day.
func (c *validator) milliseconds(field string, value, lowest int) {
	ok := value >= lowest && value <= maxDurationMS
	c.require(ok, field, value, fmt.Sprintf("must lie between %d and %d", lowest, maxDurationMS))
}

func (c *validator) share(field string, value float64) {
	c.require(value >= 0 && value <= 1, field, value, "must lie between 0 and 1")
}
