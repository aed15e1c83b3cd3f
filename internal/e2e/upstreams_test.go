package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	quietPeriod = 2 * time.Second // a runner without a new run for this long under load gets no new work
	mapPath     = "/maps/7/40/77"
	mapsRoute   = "maps"
)

// startService starts the plain service and creates a route to it.
func (s *stack) startService() {
	s.t.Helper()
	address := testport.Address(s.t)
	url := "http://" + address
	start(s.t, "service", binary(s.t, "ragwort-standin"), url+"/", "service", "--listen", address, "--name", "maps-1")
	s.put(resource.KindService, "map-sensor", resource.Service{Upstreams: []resource.ServiceUpstream{
		{Name: "maps-1", Address: url, Zone: zone(0), State: resource.RunnerServing},
	}})
	s.put(resource.KindRoute, mapsRoute, resource.Route{
		PathPrefix: "/maps/", Service: "map-sensor", Methods: []resource.MethodRule{{Method: http.MethodGet, Idempotent: true}},
	})
}

// TestPlainServiceIsReachable checks that every gateway serves a route to a plain service
// that is created while the gateways run.
func TestPlainServiceIsReachable(t *testing.T) {
	s := newStack(t)
	s.startService()
	for _, g := range s.gateways {
		eventually(t, g.process.name+" serves the new route", func() bool {
			request, err := http.NewRequest(http.MethodGet, g.url+mapPath, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+apiKey)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			return err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), mapPath)
		})
	}
}

// stats returns the runner's counters.
func (r *runnerProcess) stats(t *testing.T) runner.Stats {
	t.Helper()
	return getAdmin[runner.Stats](t, r.url+"/admin/stats")
}

// setLeaving marks a runner as leaving in the platform's list of instances.
func (s *stack) setLeaving(name, zone string) {
	s.t.Helper()
	putAdmin(s.t, s.platformURL+"/admin/instances/"+name,
		resource.Instance{Role: resource.RoleUpstream, Zone: zone, State: resource.InstanceLeaving})
}

// TestLeavingRunnerGetsNoNewWork guards against new runs at a runner that the platform
// has marked as leaving under load. The runner must eventually get no new runs, while the
// other runners go on. The time until its last new run is only logged.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	s := newStack(t)
	l := startLoad(s.gateways, loadCallers)
	leaving := s.runners[0]
	eventually(t, "the runner has work", func() bool { return leaving.stats(t).Accepted > 0 })
	s.setLeaving(leaving.process.name, zone(0))
	marked := time.Now()
	count, last := leaving.stats(t).Accepted, marked
	eventually(t, "the runner gets no new work", func() bool {
		if now := leaving.stats(t).Accepted; now != count {
			count, last = now, time.Now()
		}
		return time.Since(last) > quietPeriod
	})
	t.Logf("last new run %s after the platform marked the runner as leaving", last.Sub(marked).Round(time.Millisecond))
	before := l.whole.Load()
	eventually(t, "the other runners complete requests", func() bool { return l.whole.Load() > before })
	l.finish()
	checkResult(t, l, s)
	if now := leaving.stats(t).Accepted; now != count {
		t.Errorf("%d new runs after the quiet period", now-count)
	}
}
