package trial

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Names and values in the trial's configuration.
const (
	engineName  = "trial-engine"
	modelName   = "smoke-desk"
	versionOne  = "smoke-desk-v1"
	versionTwo  = "smoke-desk-v2"
	chatRoute   = "chat"
	alertRoute  = "alert"
	mapsRoute   = "maps"
	mapsService = "map-sensor"
	accountName = "residents"
	writerName  = "trial"

	contextTokens = 32_768
	maxPriority   = 9
	chatPriority  = 3
	firstTokenMS  = 1800
	betweenMS     = 100
	wholeMS       = 10_000
	runnerCount   = 4
)

var zones = []string{"zone-a", "zone-b"}

func runnerName(i int) string { return fmt.Sprintf("runner-%d", i+1) }

func zoneOf(i int) string { return zones[i%len(zones)] }

// trialCost returns the cost model of the trial's runners. Loading a model takes only as
// long as a role change, so that a user of the trial can watch it.
func trialCost() runner.Cost {
	cost := runner.DefaultCost
	cost.LoadModel = cost.RoleChange
	return cost
}

func trialEngine() resource.Engine {
	cost := trialCost()
	return resource.Engine{
		ChecksFencing:     true,
		DeduplicatesRuns:  true,
		KVTokens:          cost.KVTokens,
		PrefillRate:       cost.PrefillRate,
		DecodeRate:        cost.DecodeRate,
		StreamRate:        cost.StreamRate,
		MaxBatch:          cost.MaxBatch,
		RoleChangeSeconds: cost.RoleChange.Seconds(),
		LoadSeconds:       cost.LoadModel.Seconds(),
		KVTransferRate:    cost.KVTransferRate,
	}
}

func loadedVersions() []upstream.Loaded {
	return []upstream.Loaded{
		{Model: modelName, Version: versionOne},
		{Model: modelName, Version: versionTwo},
	}
}

// object is one object to create at the platform.
type object struct {
	kind string
	name string
	body any // the spec, a type of package resource
}

// configuration returns the objects of the trial for the given addresses of its runners
// and of the plain service.
func configuration(runners []string, service, apiKey string) []object {
	sum := sha256.Sum256([]byte(apiKey))
	objects := []object{
		{resource.KindEngine, engineName, trialEngine()},
		{resource.KindModel, modelName, resource.Model{ContextTokens: contextTokens, MinPrefill: 1, MinDecode: 1, MinServing: runnerCount - 1}},
		{resource.KindVersion, versionOne, resource.Version{Model: modelName, Source: "smoke-desk/v1"}},
		{resource.KindVersion, versionTwo, resource.Version{Model: modelName, Source: "smoke-desk/v2"}},
		{resource.KindRoute, chatRoute, chatSpec()},
		{resource.KindRoute, alertRoute, alertSpec()},
		{resource.KindRoute, mapsRoute, mapsSpec()},
		{resource.KindService, mapsService, resource.Service{Upstreams: []resource.ServiceUpstream{
			{Name: "maps-1", Address: service, Zone: zones[0], State: resource.RunnerServing},
		}}},
		{resource.KindClientAccount, accountName, resource.ClientAccount{KeyHashes: []string{hex.EncodeToString(sum[:])}, MaxPriority: maxPriority}},
	}
	for i, address := range runners {
		objects = append(objects, object{resource.KindRunner, runnerName(i), resource.Runner{
			Engine: engineName, Address: address, Zone: zoneOf(i), Model: modelName,
			Versions: []string{versionOne, versionTwo},
			Role:     resource.RoleAuto, State: resource.RunnerServing,
		}})
	}
	return objects
}

func chatSpec() resource.Route {
	return resource.Route{
		Model:       modelName,
		Weights:     []resource.VersionWeight{{Version: versionOne, Weight: 1}},
		OnTime:      resource.OnTime{FirstTokenMS: firstTokenMS, InterTokenMS: betweenMS},
		Priority:    chatPriority,
		Idempotent:  true,
		ExpectedOut: 100,
	}
}

func alertSpec() resource.Route {
	return resource.Route{
		Model:       modelName,
		Weights:     []resource.VersionWeight{{Version: versionOne, Weight: 1}},
		OnTime:      resource.OnTime{FirstTokenMS: firstTokenMS, TotalMS: wholeMS},
		Priority:    maxPriority,
		ExpectedOut: 20,
	}
}

func mapsSpec() resource.Route {
	return resource.Route{
		PathPrefix: "/maps/",
		Service:    mapsService,
		Priority:   chatPriority,
		Methods:    []resource.MethodRule{{Method: "GET", Idempotent: true}},
	}
}

// createObjects validates and creates the objects one after the other. At the first error
// it stops.
func createObjects(ctx context.Context, store platform.Store, objects []object) error {
	for _, s := range objects {
		o, err := resource.Encode(s.kind, s.name, s.body)
		if err != nil {
			return err
		}
		if err := resource.Validate(o); err != nil {
			return err
		}
		o.Writer = writerName
		o.Nonce = platform.NewNonce()
		if _, err := store.Create(ctx, o); err != nil {
			return errors.Wrapf(err, "create %s/%s", s.kind, s.name)
		}
	}
	return nil
}
