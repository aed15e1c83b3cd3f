package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	scenarios["6"] = encodedSlash
	scenarios["7"] = equalKeys
}

// routesConfig is a configuration with the given version and further routes.
func routesConfig(version int, further string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"tiles","hostname":"maps.example","pathPrefix":"/tiles/","kind":"unsafe","timeoutMs":1500,"service":"maps","priority":2,"maxAttempts":1},
	{"name":"board","hostname":"maps.example","pathPrefix":"/board/","kind":"unsafe","timeoutMs":1500,"service":"board","priority":2,"maxAttempts":1}%s],
	"services":[{"name":"maps","healthPath":"/healthz","maxConnections":96},{"name":"board","healthPath":"/healthz","maxConnections":96}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, further)
}

// regionRoute leads to the other service.
const regionRoute = `,
	{"name":"region","hostname":"maps.example","pathPrefix":"/tiles/b/","kind":"unsafe","timeoutMs":1500,"service":"board","priority":2,"maxAttempts":1}`

// prefixes are the path prefixes of all routes that any configuration had, by service.
var prefixes = map[string]string{"/tiles/": "maps", "/board/": "board"}

// serviceOf returns the service of the longest prefix that begins the path.
func serviceOf(path string, prefixes map[string]string) (service string) {
	longest := ""
	for prefix, s := range prefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest, service = prefix, s
		}
	}
	return service
}

// misrouted returns the requests that ran at a service to which no configuration allows them to go.
func misrouted(upstreams []*upstream, allowed func(path, service string) bool) (wrong int) {
	for _, u := range upstreams {
		for _, a := range u.received() {
			if a.ran && !allowed(a.path, u.service) {
				wrong++
				u.d.rec.line("server %s of service %s ran request %s with path %s", u.id, u.service, a.id, a.path)
			}
		}
	}
	return wrong
}

// foreign returns the successes whose body is that of another service than the one that the path leads to.
func foreign(c *clients, allowed func(path, service string) bool) (n int) {
	for _, a := range c.all() {
		service, _, _ := strings.Cut(a.body, " ")
		if a.status == http.StatusOK && !allowed(a.path, service) {
			n++
			c.d.rec.line("client: %s %s got the body %q", a.id, a.path, a.body)
		}
	}
	return n
}

// encodedSlash has clients ask for tiles whose names hold a slash, which stands encoded in the path. With the disruption,
// a version of the configuration adds a route with a longer prefix.
func encodedSlash(d *deployment, trouble bool) (broken bool) {
	d.configure(routesConfig(3, ""))
	var upstreams []*upstream
	for i, service := range []string{"maps", "maps", "board", "board"} {
		u := d.startUpstream(upstreamConfig{id: fmt.Sprintf("i-3c00000%d", i), service: service, zone: "a", slots: 6, work: workTime})
		u.list("ready")
		upstreams = append(upstreams, u)
	}
	processes := []*process{d.start("edge-a-1", "a"), d.start("edge-b-1", "b")}
	d.awaitReady()
	time.Sleep(3500 * time.Millisecond)
	c, stop := &clients{d: d}, make(chan struct{})
	for i, path := range []string{"/tiles/b%2F7", "/tiles/7", "/board/7", "/tiles/c%2F7"} {
		c.steady(stop, 200*time.Millisecond, func(t *http.Transport) {
			c.send(t, processes[i%2], http.MethodPost, "maps.example", path, "a tile", 3000, nil)
			c.send(t, processes[(i+1)%2], http.MethodPost, "maps.example", path, "a tile", 3000, nil)
		})
	}
	time.Sleep(3 * time.Second)
	all := map[string]string{"/tiles/": "maps", "/board/": "board"}
	if trouble {
		d.configure(routesConfig(4, regionRoute))
		d.rec.line("store: version 4 adds a route from /tiles/b/ to board")
		all["/tiles/b/"] = "board"
	}
	time.Sleep(5 * time.Second)
	close(stop)
	c.wg.Wait()
	// Version 3 allows what the shorter prefixes say, version 4 what all say.
	allowed := func(path, service string) bool {
		return service == serviceOf(path, prefixes) || service == serviceOf(path, all)
	}
	wrong, bodies := misrouted(upstreams, allowed), foreign(c, allowed)
	text := fmt.Sprintf("ROUTE: %d requests ran at a service to which no configuration allows them to go; %d clients got another service's answer; %d attempts", wrong, bodies, len(c.all()))
	d.rec.line("%s", text)
	fmt.Println(text)
	return wrong > 0
}

// Two ids of eight random digits each, the second with the same low 32 bits of its hash as the first, and one without.
const (
	firstID = "i-63f5a2e9"
	equalID = "i-00670ab0"
	otherID = "i-5b7e20d4"
)

// equalKeys has a server of another service join. With the disruption, its id has the same 32-bit hash as that of a server
// that serves.
func equalKeys(d *deployment, trouble bool) (broken bool) {
	d.configure(routesConfig(3, ""))
	var upstreams []*upstream
	add := func(id, service string) {
		u := d.startUpstream(upstreamConfig{id: id, service: service, zone: "a", slots: 6, work: workTime})
		u.list("ready")
		upstreams = append(upstreams, u)
	}
	add(firstID, "maps")
	add("i-3c000001", "board")
	processes := []*process{d.start("edge-a-1", "a"), d.start("edge-a-2", "a"), d.start("edge-a-3", "a")}
	d.awaitReady()
	time.Sleep(3500 * time.Millisecond)
	c, stop := &clients{d: d}, make(chan struct{})
	for i := range 6 {
		path := []string{"/tiles/7", "/board/7"}[i/3]
		c.steady(stop, 150*time.Millisecond, func(t *http.Transport) {
			c.send(t, processes[i%3], http.MethodPost, "maps.example", path, "a tile", 3000, nil)
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		add(equalID, "board")
	} else {
		add(otherID, "board")
	}
	for i := range 6 { // further servers join, one after the other
		time.Sleep(time.Second)
		add(fmt.Sprintf("i-3c00001%d", i), []string{"maps", "board"}[i%2])
	}
	time.Sleep(2 * time.Second)
	close(stop)
	c.wg.Wait()
	allowed := func(path, service string) bool { return service == serviceOf(path, prefixes) }
	wrong, bodies := misrouted(upstreams, allowed), foreign(c, allowed)
	text := fmt.Sprintf("ROUTE: %d requests ran at a service to which no configuration allows them to go; %d clients got another service's answer; %d attempts", wrong, bodies, len(c.all()))
	d.rec.line("%s", text)
	fmt.Println(text)
	return wrong > 0
}
