package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/gateway"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Names, sizes and settings of the fleet. Each zone has one gateway. The first zone has
// one runner and no upstream of the plain service, so that most of its gateway's traffic
// goes to the other two zones, which have four runners and one upstream each.
const (
	zoneCount       = 3
	runnerCount     = 9
	serviceCount    = zoneCount - 1
	engineName      = "engine"
	modelName       = "smoke-desk"
	versionName     = "smoke-desk-v1"
	atMostOnceRoute = "alert"
	idempotentRoute = "chat"
	accountName     = "clinic"
	apiKey          = "key-of-the-clinic"
	peerKeyEnv      = "RAGWORT_FAULTS_PEER_KEY"
	writer          = "bench"

	balancerMS      = 10
	drainMS         = 200
	readyLimit      = 60 * time.Second
	readyEvery      = 20 * time.Millisecond
	unlimitedPerSec = 1e5
	kvTokens        = 1 << 20
	contextTokens   = 8192
	prefillRate     = 1e5
	firstTokenMS    = 300 // latency objective of the routes; a runner in the gateway's zone that is too busy for it isn't chosen
	fullBatch       = 0.8 // rate of each stream in a full batch, relative to a single stream
)

func zoneName(i int) string    { return fmt.Sprintf("zone-%c", 'a'+i) }
func gatewayName(i int) string { return fmt.Sprintf("gateway-%c", 'a'+i) }
func runnerName(i int) string  { return fmt.Sprintf("runner-%d", i+1) }
func serviceName(i int) string { return fmt.Sprintf("van-%d", i+1) }

// zoneOf returns the zone of a runner.
func zoneOf(runner int) int {
	if runner == 0 {
		return 0
	}
	return 1 + runner%(zoneCount-1)
}

// zoneOfService returns the zone of an upstream of the plain service.
func zoneOfService(upstream int) int { return 1 + upstream }

// servicePath returns the path of the service for callers of one gateway. It differs
// between gateways, so that each has its own links to the upstreams.
func servicePath(gateway int) string { return "/van/" + zoneName(gateway) }

// fleet is the system under test with its stand-ins. mu guards crashed and the killed
// fields of the gateways.
type fleet struct {
	store       *standin.Store
	platform    *standin.Server
	runners     []*runner.Runner
	runnerPorts []*testport.Port // reserved also while a runner is down
	services    []*service.Service
	gateways    []*member

	mu      sync.Mutex
	crashed []int          // indexes of the runners that a fault crashed
	healing sync.WaitGroup // ends of faults that are still to come
	healed  atomic.Bool    // the fault is over, except for a killed gateway
}

// member is one gateway with its links.
type member struct {
	gateway  *gateway.Gateway   // nil until startGateway
	stop     context.CancelFunc // ends Run
	done     chan error         // the result of Run
	callers  *link              // from callers to this gateway
	platform *link              // from this gateway to the platform
	peers    *link              // from the other gateways to this one
	runners  []*link            // from this gateway to each runner
	services []*link            // from this gateway to each upstream of the plain service
	killed   bool               // a fault has killed the gateway
}

// peerKey is the key that the gateways share. It is unique to this process, because a port
// of one of its gateways may have belonged to a daemon of another process before. With a
// common key, the peers of that daemon would connect to the gateway and send it their
// configuration.
var peerKey = uuid.NewString()

// newFleet starts a fleet and waits until all gateways know all upstreams and each
// other.
func newFleet(ctx context.Context, p profile) (*fleet, error) {
	f := &fleet{store: standin.New(standin.Config{})}
	if err := f.start(ctx, p); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// start starts the stand-ins, writes the configuration, and starts the gateways.
func (f *fleet) start(ctx context.Context, p profile) error {
	if err := os.Setenv(peerKeyEnv, peerKey); err != nil {
		return errors.Wrap(err, "set the peers' key")
	}
	var err error
	if f.platform, err = f.store.Listen(anyPort); err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	addresses, err := f.startUpstreams(p)
	if err != nil {
		return err
	}
	for i := range zoneCount {
		m, err := newMember(f, addresses)
		if err != nil {
			return err
		}
		f.gateways = append(f.gateways, m)
		f.store.PutInstance(gatewayName(i), resource.Instance{
			Role: resource.RoleGateway, Zone: zoneName(i), PeerAddress: m.peers.address, State: resource.InstanceLive,
		})
	}
	if err := f.configure(ctx, p, addresses); err != nil {
		return err
	}
	for i := range zoneCount {
		if err := f.startGateway(i, p); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// upstreams holds the addresses (host:port) of the stand-ins.
type upstreams struct{ runners, services []string }

// startUpstreams starts the runners and the upstreams of the plain service.
func (f *fleet) startUpstreams(p profile) (upstreams, error) {
	var out upstreams
	for i := range runnerCount {
		r := runner.New(runner.Config{
			Name: runnerName(i), Cost: p.cost(), ChecksFencing: true, DeduplicatesRuns: true,
			Loaded: []upstream.Loaded{{Model: modelName, Version: versionName}},
		})
		f.runners = append(f.runners, r)
		port, err := testport.Reserve()
		if err != nil {
			return out, errors.Wrap(err, "reserve a port for a runner")
		}
		f.runnerPorts = append(f.runnerPorts, port)
		url, err := r.Listen(port.Address())
		if err != nil {
			return out, errors.Wrap(err, "listen for a runner")
		}
		out.runners = append(out.runners, url[len("http://"):])
	}
	for i := range serviceCount {
		s := service.New(service.Config{Name: serviceName(i)})
		s.SetFaults(service.Faults{DelayMS: int(p.ramp.Milliseconds()) / 2, ChunkDelayMS: int(p.ramp.Milliseconds()) / 20})
		f.services = append(f.services, s)
		url, err := s.Listen(anyPort)
		if err != nil {
			return out, errors.Wrap(err, "listen for the plain service")
		}
		out.services = append(out.services, url[len("http://"):])
	}
	return out, nil
}

// newMember opens the links of one gateway, which doesn't run yet. startGateway sets the
// targets of the links that lead to it.
func newMember(f *fleet, to upstreams) (*member, error) {
	m := &member{}
	var err error
	if m.callers, err = newLink(""); err != nil {
		return nil, err
	}
	if m.peers, err = newPeerLink(); err != nil {
		return nil, err
	}
	if m.platform, err = newLink(f.platform.URL[len("http://"):]); err != nil {
		return nil, err
	}
	for _, address := range to.runners {
		l, err := newLink(address)
		if err != nil {
			return nil, err
		}
		m.runners = append(m.runners, l)
	}
	for _, address := range to.services {
		l, err := newLink(address)
		if err != nil {
			return nil, err
		}
		m.services = append(m.services, l)
	}
	return m, nil
}

// startGateway creates and runs the gateway of a zone. It reaches the platform and the
// upstreams through its links.
func (f *fleet) startGateway(i int, p profile) error {
	m := f.gateways[i]
	s := &settings.Gateway{
		Instance: settings.Instance{Name: gatewayName(i), Zone: zoneName(i)},
		Listen:   settings.Listener{Address: anyPort},
		Platform: settings.Platform{Address: m.platform.url()},
		Peer: settings.Peer{
			Listen: settings.Listener{Address: anyPort}, Advertise: m.peers.address,
			SharedKey: settings.Secret{Env: peerKeyEnv}, HeartbeatMS: p.heartbeatMS,
		},
		Operators: settings.Operators{Listen: settings.Listener{Address: anyPort}},
		Stop:      settings.Stop{BalancerMS: balancerMS, DrainMS: drainMS},
	}
	s.SetDefaults()
	byName := map[string]string{}
	for r, l := range m.runners {
		byName[runnerName(r)] = l.url()
	}
	g, err := gateway.New(gateway.Config{Settings: s, Engine: func(name, _ string) upstream.Engine {
		return upstream.NewHTTP(byName[name], upstream.HTTPOptions{Name: name})
	}})
	if err != nil {
		return errors.Wrap(err, gatewayName(i))
	}
	m.gateway = g
	m.callers.setTarget(g.Addresses().Callers.String())
	m.peers.setTarget(g.Addresses().Peers.String())
	ctx, stop := context.WithCancel(context.Background())
	m.stop, m.done = stop, make(chan error, 1)
	go func() { m.done <- g.Run(ctx) }()
	return nil
}

// waitReady waits until every gateway knows the others and has connected to every runner.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i, m := range f.gateways {
		for !f.knowsAll(ctx, m) {
			select {
			case <-ctx.Done():
				return errors.Errorf("%s does not know the whole fleet after %v", gatewayName(i), readyLimit)
			case <-time.After(readyEvery):
			}
		}
	}
	return nil
}

// knowsAll reports whether a gateway has connected to every runner and lists every gateway
// as live.
func (f *fleet) knowsAll(ctx context.Context, m *member) bool {
	for _, l := range m.runners {
		if l.connectionCount() == 0 {
			return false
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.gateway.Addresses().Operators.String()+"/members", nil)
	if err != nil {
		return false
	}
	tr := &http.Transport{DisableKeepAlives: true}
	response, err := tr.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var members []ops.Member
	if json.NewDecoder(response.Body).Decode(&members) != nil {
		return false
	}
	live := 0
	for _, known := range members {
		if known.State == "live" {
			live++
		}
	}
	return live == zoneCount
}

// close waits for the end of all faults and stops the fleet. The fleet may have been
// started only in part.
func (f *fleet) close() {
	f.healing.Wait()
	for _, m := range f.gateways {
		if m.gateway != nil {
			m.stop()
		}
	}
	for _, m := range f.gateways {
		if m.gateway != nil {
			<-m.done
		}
		for _, l := range m.links() {
			l.close()
		}
	}
	for _, r := range f.runners {
		r.Close()
	}
	for _, p := range f.runnerPorts {
		p.Release()
	}
	for _, s := range f.services {
		s.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
}

// links returns all links of a gateway.
func (m *member) links() []*link {
	out := []*link{m.callers, m.platform, m.peers}
	out = append(out, m.runners...)
	return append(out, m.services...)
}
