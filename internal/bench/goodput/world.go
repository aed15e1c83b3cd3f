package goodput

import (
	"container/heap"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/bench/engine"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Periods of what the gateways learn.
const (
	reportEvery = 250 * time.Millisecond // load reports and cache events of each engine
	tickEvery   = 20 * time.Millisecond  // decisions on waiting requests
	peerDelay   = 2 * time.Millisecond
)

// epoch is the wall clock at virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func wall(at time.Duration) time.Time { return epoch.Add(at) }

// gateway is one gateway under test.
type gateway interface {
	arrive(now time.Duration, q *request)
	tick(now time.Duration)
	reported(now time.Duration, r upstream.LoadReport)
	cached(now time.Duration, e *engine.Engine)
	use(now time.Duration)
	first(now time.Duration, id string)
	finished(now time.Duration, id string)
}

// setup describes the fleet of one run.
type setup struct {
	zones, engines, gateways int
	lag                      time.Duration // age of reports and cache events
	returns                  int           // times that a refused caller comes back when it is told to
	prefills                 int           // the first engines prefill and the others decode; 0: all do both
	kvRate                   float64       // actual rate of KV transfers, prompt tokens a second
	declared                 float64       // declared rates in parts of the actual ones; 0: 1
	useEvery                 time.Duration // period of the use reports of each gateway
	length, warm             time.Duration
	blocks                   int // prefix blocks that an engine's cache holds
	make                     func(w *world, index int, zone string) gateway
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].order < h[k].order
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world runs a trace through gateways and engines.
type world struct {
	setup    setup
	snapshot *config.Snapshot
	engines  []*engine.Engine
	zoneOf   map[string]string // of engines
	byName   map[string]int
	gateways []gateway
	zones    []string // of gateways
	events   eventHeap
	order    int
	jobs     map[string]*job
	result   result
}

// job is a request at an engine.
type job struct {
	request  *request
	gateway  int
	engine   int // that decodes
	at       int // engine where it is now
	job      *engine.Job
	computed float64 // prompt tokens computed at a prefill engine
}

// role gives the role of engine i.
func (s *setup) role(i int) upstream.Role {
	switch {
	case s.prefills == 0:
		return upstream.RoleBoth
	case i < s.prefills:
		return upstream.RolePrefill
	}
	return upstream.RoleDecode
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i) }

func newWorld(s setup) *world {
	w := &world{setup: s, zoneOf: map[string]string{}, byName: map[string]int{}, jobs: map[string]*job{}}
	w.result.init(s)
	w.snapshot = &config.Snapshot{
		Version: 1,
		Engines: map[string]resource.Engine{"class": declaredClass(s.declared)},
		Runners: map[string]resource.Runner{},
		Routes:  map[string]resource.Route{modelName: {Model: modelName, OnTime: onTime}},
	}
	for i := range s.engines {
		name := "runner-" + strconv.Itoa(i)
		zone := zoneName(i % s.zones)
		w.snapshot.Runners[name] = resource.Runner{
			Engine: "class", Zone: zone, Model: modelName, Role: string(s.role(i)), State: resource.RunnerServing,
		}
		w.zoneOf[name] = zone
		w.byName[name] = i
		w.engines = append(w.engines, engine.New(engine.Config{
			Name: name, Class: class, Role: s.role(i),
			Model: upstream.Loaded{Model: modelName, Version: "v1"}, PrefixBlocks: s.blocks,
		}))
	}
	for i := range s.gateways {
		w.zones = append(w.zones, zoneName(i%s.zones))
	}
	for i := range s.gateways {
		w.gateways = append(w.gateways, s.make(w, i, w.zones[i]))
	}
	return w
}

// declaredClass is the engine class as operators declared it.
func declaredClass(part float64) resource.Engine {
	out := class
	if part > 0 {
		out.PrefillRate *= part
		out.DecodeRate *= part
		out.StreamRate *= part
	}
	return out
}

func (w *world) at(t time.Duration, do func(now time.Duration)) {
	w.order++
	heap.Push(&w.events, event{at: t, order: w.order, do: do})
}

// every repeats something until the last caller has an answer.
func (w *world) every(first, period time.Duration, do func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		do(now)
		if now+period < w.setup.length+callerPatience {
			w.at(now+period, again)
		}
	}
	w.at(first, again)
}

// run plays the trace and gives what came of it.
func (w *world) run(t trace) *result {
	w.schedule(t)
	limit := w.setup.length + 2*callerPatience
	for {
		next := engine.Never
		for _, e := range w.engines {
			next = min(next, e.Next())
		}
		if len(w.events) > 0 && w.events[0].at <= next {
			next = w.events[0].at
		}
		if next > limit {
			return &w.result
		}
		w.advance(next)
		for len(w.events) > 0 && w.events[0].at <= next {
			e := heap.Pop(&w.events).(event)
			e.do(e.at)
		}
	}
}

func (w *world) schedule(t trace) {
	for i := range t {
		q := &t[i]
		w.at(q.at, func(now time.Duration) {
			w.result.arrived(q)
			w.gateways[q.gateway].arrive(now, q)
		})
	}
	for i, e := range w.engines {
		offset := reportEvery * time.Duration(i) / time.Duration(len(w.engines))
		w.every(offset, reportEvery, func(now time.Duration) { w.report(now, e) })
	}
	for i, g := range w.gateways {
		offset := w.setup.useEvery * time.Duration(i) / time.Duration(len(w.gateways))
		w.every(offset, w.setup.useEvery, g.use)
		w.every(time.Duration(i)*time.Millisecond, tickEvery, g.tick)
	}
}

// report lets every gateway have an engine's load and cache events, late by the lag.
func (w *world) report(now time.Duration, e *engine.Engine) {
	if now >= w.setup.warm && now < w.setup.length {
		w.result.load[w.byName[e.Name()]] += float64(e.Streams())
	}
	r := e.Report(now, epoch)
	r.Age = w.setup.lag
	w.at(now+w.setup.lag, func(now time.Duration) {
		for _, g := range w.gateways {
			g.reported(now, r)
		}
	})
	for _, g := range w.gateways {
		g.cached(now, e)
	}
}

func (w *world) advance(now time.Duration) {
	for i, e := range w.engines {
		for _, ev := range e.Advance(now) {
			w.happened(i, ev)
		}
	}
}

func (w *world) happened(_ int, ev engine.Event) {
	j, ok := w.jobs[ev.Job.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case engine.PrefillDone:
		j.computed = ev.Job.Computed
		w.decode(ev.At, j, true)
	case engine.FirstToken:
		w.gateways[j.gateway].first(ev.At, ev.Job.ID)
	case engine.Done:
		w.result.done(j, ev.At)
		w.gateways[j.gateway].finished(ev.At, ev.Job.ID)
		delete(w.jobs, ev.Job.ID)
	}
}

// send gives a request to an engine, or first to one that computes its prompt.
// The caller leaves when its patience ends.
func (w *world) send(now time.Duration, gateway int, q *request, runner, prefill string) {
	j := &job{request: q, gateway: gateway, engine: w.byName[runner], at: w.byName[runner]}
	w.jobs[q.id] = j
	if prefill == "" {
		w.decode(now, j, false)
	} else {
		w.prefill(now, j, prefill)
	}
	w.result.sent(q, w.zones[gateway] != w.zoneOf[runner], prefill != "")
	w.at(q.at+callerPatience, func(now time.Duration) {
		if w.jobs[q.id] != j {
			return
		}
		delete(w.jobs, q.id)
		w.engines[j.at].Cancel(q.id)
		w.result.left(j)
		w.gateways[gateway].finished(now, q.id)
	})
}

// comeBack lets a refused caller ask again, at another gateway, after the time it was told.
func (w *world) comeBack(now time.Duration, q *request, after time.Duration) {
	if q.tries >= w.setup.returns || after <= 0 || now+after >= w.setup.length {
		return
	}
	again := *q
	again.tries++
	again.id += "+"
	again.at = now + after
	again.gateway = (q.gateway + 1) % len(w.gateways)
	w.at(again.at, func(now time.Duration) {
		w.result.arrived(&again)
		w.gateways[again.gateway].arrive(now, &again)
	})
}

// prefill has the prompt of a request computed for another engine.
func (w *world) prefill(now time.Duration, j *job, runner string) {
	q := j.request
	j.at = w.byName[runner]
	j.job = &engine.Job{ID: q.id, Prompt: q.prompt, Priority: q.kind.priority, Hashes: q.hashes, PrefillOnly: true}
	w.engines[j.at].Submit(now, j.job)
}

// decode gives a request to its decoding engine, with or without its KV cache.
func (w *world) decode(now time.Duration, j *job, hasKV bool) {
	q := j.request
	j.at = j.engine
	j.job = &engine.Job{ID: q.id, Prompt: q.prompt, Out: q.out, Priority: q.kind.priority, Hashes: q.hashes, HasKV: hasKV}
	if hasKV {
		j.job.KVDelay = time.Duration(float64(q.prompt) / w.setup.kvRate * float64(time.Second))
	}
	w.engines[j.engine].Submit(now, j.job)
}
