package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/ragworttrestle/ragworttrestle/internal/process/controller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/gateway"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	anyPort    = "127.0.0.1:0"
	peerKeyEnv = "RAGWORT_TRIAL_PEER_KEY" // set by New; the settings of all daemons refer to it
	reportLag  = 0                        // load reports show the current state
	balancerMS = 200                      // settings.Stop of all daemons, as is drainMS
	drainMS    = 30_000
)

// Config configures a trial.
type Config struct {
	Listen string  // host:port of the first gateway's port for callers
	Speed  float64 // factor by which runners are faster than their cost model; 0: 1
}

// Trial is the whole system in one process.
type Trial struct {
	apiKey      string // of the trial's client account
	store       *standin.Store
	platform    *http.Server
	platformURL string
	runners     []*runner.Runner
	runnerURLs  []string
	service     *service.Service
	gateways    []*gateway.Gateway
	controllers []*controller.Controller
}

// New starts the stand-ins, writes the configuration and creates the daemons, which Run
// starts. Run must be called even if ctx has ended, since only Run stops the stand-ins. If
// New returns an error, stand-ins that it has started keep running.
func New(ctx context.Context, cfg Config) (*Trial, error) {
	t := &Trial{apiKey: "trial-" + uuid.NewString()}
	if err := os.Setenv(peerKeyEnv, uuid.NewString()); err != nil {
		return nil, errors.Wrap(err, "set the peers' key")
	}
	if err := t.startPlatform(); err != nil {
		return nil, err
	}
	if err := t.startUpstreams(ctx, cfg.Speed); err != nil {
		return nil, err
	}
	for i := range zones {
		if err := t.makeDaemons(ctx, i, cfg.Listen); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// APIKey returns the key of the trial's client account.
func (t *Trial) APIKey() string { return t.apiKey }

// CallersURL returns the base URL of the first gateway's port for callers.
func (t *Trial) CallersURL() string { return "http://" + t.gateways[0].Addresses().Callers.String() }

// OperatorsURL returns the base URL of the first gateway's operators' port.
func (t *Trial) OperatorsURL() string {
	return "http://" + t.gateways[0].Addresses().Operators.String()
}

// RunnerURL returns the base URL of the first runner, for calls without a gateway.
func (t *Trial) RunnerURL() string { return t.runnerURLs[0] }

func (t *Trial) startPlatform() error {
	t.store = standin.New(standin.Config{})
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	t.platformURL = "http://" + l.Addr().String()
	t.platform = &http.Server{Handler: t.store.Handler()}
	go func() { _ = t.platform.Serve(l) }()
	return nil
}

// startUpstreams starts the runners and the plain service and writes the configuration.
func (t *Trial) startUpstreams(ctx context.Context, speed float64) error {
	var addresses []string
	for i := range runnerCount {
		r := runner.New(runner.Config{
			Name: runnerName(i), Loaded: loadedVersions(), Cost: trialCost(), ReportLag: reportLag,
			ChecksFencing: true, DeduplicatesRuns: true, Speed: speed,
		})
		t.runners = append(t.runners, r)
		address, err := r.Listen(anyPort)
		if err != nil {
			return errors.Wrap(err, "listen for a runner")
		}
		addresses = append(addresses, address)
	}
	t.runnerURLs = addresses
	t.service = service.New(service.Config{Name: "maps-1"})
	address, err := t.service.Listen(anyPort)
	if err != nil {
		return errors.Wrap(err, "listen for the plain service")
	}
	return createObjects(ctx, t.store, configuration(addresses, address, t.apiKey))
}

// makeDaemons creates the gateway and the controller of availability zone i and adds
// both to the platform's list of instances. The first gateway listens for callers at
// listen, the others at any free port.
func (t *Trial) makeDaemons(ctx context.Context, i int, listen string) error {
	if i > 0 {
		listen = anyPort
	}
	gatewayName := fmt.Sprintf("gateway-%d", i+1)
	controllerName := fmt.Sprintf("controller-%d", i+1)
	g, err := gateway.New(gateway.Config{Settings: t.gatewaySettings(gatewayName, zones[i], listen)})
	if err != nil {
		return errors.Wrap(err, gatewayName)
	}
	t.gateways = append(t.gateways, g)
	c, err := controller.New(controller.Config{Settings: t.controllerSettings(controllerName, zones[i])})
	if err != nil {
		return errors.Wrap(err, controllerName)
	}
	t.controllers = append(t.controllers, c)
	return createObjects(ctx, t.store, []object{
		{resource.KindInstance, gatewayName, liveInstance(resource.RoleGateway, i, g.Addresses().Peers)},
		{resource.KindInstance, controllerName, liveInstance(resource.RoleController, i, c.Addresses().Peers)},
	})
}

func liveInstance(role string, zone int, peerAddress net.Addr) resource.Instance {
	return resource.Instance{Role: role, Zone: zones[zone], PeerAddress: peerAddress.String(), State: resource.InstanceLive}
}

func (t *Trial) gatewaySettings(name, zone, listen string) *settings.Gateway {
	s := &settings.Gateway{
		Instance:  settings.Instance{Name: name, Zone: zone},
		Listen:    settings.Listener{Address: listen},
		Platform:  settings.Platform{Address: t.platformURL},
		Peer:      peerSettings(),
		Operators: settings.Operators{Listen: settings.Listener{Address: anyPort}},
		Stop:      settings.Stop{BalancerMS: balancerMS, DrainMS: drainMS},
	}
	s.SetDefaults()
	return s
}

func (t *Trial) controllerSettings(name, zone string) *settings.Controller {
	s := &settings.Controller{
		Instance:  settings.Instance{Name: name, Zone: zone},
		Platform:  settings.Platform{Address: t.platformURL},
		Peer:      peerSettings(),
		Operators: settings.Operators{Listen: settings.Listener{Address: anyPort}},
		Stop:      settings.Stop{BalancerMS: balancerMS, DrainMS: drainMS},
	}
	s.SetDefaults()
	return s
}

func peerSettings() settings.Peer {
	return settings.Peer{
		Listen:    settings.Listener{Address: anyPort},
		SharedKey: settings.Secret{Env: peerKeyEnv},
	}
}

// Run starts the daemons and serves until ctx ends. Then the gateways stop gracefully,
// after them the controllers, and the stand-ins last, so that no running request loses its
// runner. It returns the first error of a daemon, gateways first.
func (t *Trial) Run(ctx context.Context) error {
	var gateways errgroup.Group
	for _, g := range t.gateways {
		gateways.Go(func() error { return g.Run(ctx) })
	}
	controllerCtx, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	var controllers errgroup.Group
	for _, c := range t.controllers {
		controllers.Go(func() error { return c.Run(controllerCtx) })
	}
	err := gateways.Wait()
	stopControllers()
	if controllerErr := controllers.Wait(); err == nil {
		err = controllerErr
	}
	t.close()
	return err
}

func (t *Trial) close() {
	for _, r := range t.runners {
		r.Close()
	}
	t.service.Close()
	_ = t.platform.Close()
}
