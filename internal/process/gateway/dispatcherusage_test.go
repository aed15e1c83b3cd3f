package gateway

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// TestAccountLimitIsSharedByGateways guards against an account that gets its whole limit at each gateway: its
// tokens in flight at one gateway must count against its limit at the others.
func TestAccountLimitIsSharedByGateways(t *testing.T) {
	slow := fastCost
	slow.StreamRate = 150 // keeps the tokens reserved for two seconds
	f := newFleet(t, runner.Config{Name: "r1", Cost: slow})
	f.put(resource.KindRoute, "alert", resource.Route{Model: testModel, Priority: 5, ExpectedOut: 300})
	f.put(resource.KindClientAccount, "school", resource.ClientAccount{
		KeyHashes: []string{hashOf("school-key")}, TokensInFlight: 400, MaxPriority: 5,
	})
	gateway1, gateway2 := f.start(f.settings("gw-1")), f.start(f.settings("gw-2"))
	body := completion("alert", "[out=300] p", 300, true)
	first := make(chan testResponse, 1)
	go func() { first <- gateway1.get(testRequest{key: "school-key", body: body}) }()
	// A request within the limit is refused because of its deadline of 10 ms instead.
	kind := func() errkind.Kind {
		p := gateway2.get(testRequest{key: "school-key", body: body, header: map[string]string{headerDeadline: "10"}})
		if p.err.Run != errkind.NotRun || p.err.Kind == errkind.RateLimited && p.header.Get(headerRetryAfter) == "" {
			t.Errorf("%+v", p.err)
		}
		return p.err.Kind
	}
	gateway2.eventually("the other gateway refuses", func() bool { return kind() == errkind.RateLimited })
	receive(t, "the response to the first request", first).wantComplete(t, answerTo("[out=300] p", 300))
	gateway2.eventually("the other gateway admits again", func() bool { return kind() == errkind.DeadlineUnmeetable })
}

// TestAccountLimitIsSplitBetweenZones guards against a zone's share of an account limit that changes because
// gateways of other zones don't report their usage to this zone. With one gateway in each of two zones, the
// share is still half of the limit a minute later. Gateways that are gone and controllers don't count.
func TestAccountLimitIsSplitBetweenZones(t *testing.T) {
	d := newDispatcher(settings.Instance{Name: "a-1", Zone: "a"}, settings.Limits{})
	zone, all := gatewaysOf([]member.Member{
		{Name: "a-1", Role: member.RoleGateway, Zone: "a", State: member.Live},
		{Name: "b-1", Role: member.RoleGateway, Zone: "b", State: member.Suspected},
		{Name: "b-2", Role: member.RoleGateway, Zone: "b", State: member.Gone},
		{Name: "c-1", Role: member.RoleController, Zone: "a", State: member.Live},
	}, "a")
	now := time.Now()
	d.setGateways(now, zone, all)
	later := now.Add(time.Minute)
	spec := resource.ClientAccount{TokensInFlight: 401}
	if err := d.reserve(later, "school", spec, 201); err != nil {
		t.Errorf("refused within the zone's half of the limit: %v", err)
	}
	if err := d.reserve(later, "school", spec, 1); !errkind.Is(err, errkind.RateLimited) {
		t.Errorf("above the zone's half of the limit: %v", err)
	}
}

// TestDemandIsReportedByRoute checks that demand is reported by route, because the role
// policy weighs routes by their latency targets.
func TestDemandIsReportedByRoute(t *testing.T) {
	d := newDispatcher(settings.Instance{Name: "a-1", Zone: "a"}, settings.Limits{})
	now := time.Unix(1000, 0)
	for _, name := range []string{"alert", "chat", "chat"} {
		d.demandRow(&route.Request{Model: "m", Route: name}).Arrived++
	}
	arrived := map[string]int{}
	for _, row := range d.useReport(now).Demand {
		arrived[row.Model+"/"+row.Route] += row.Arrived
	}
	if arrived["m/alert"] != 1 || arrived["m/chat"] != 2 {
		t.Errorf("got %v", arrived)
	}
}
