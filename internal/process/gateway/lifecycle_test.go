package gateway

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	standinplatform "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// operators gets a path of the operators' port and returns the status and body.
func (r *testGateway) operators(path string) (int, string) {
	r.f.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.Addresses().Operators.String() + path)
	if err != nil {
		r.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.f.t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// TestOperatorsPort checks the members, explanations and metrics on the operators' port. Every gateway has to
// return the explanation of a request, also a gateway that didn't serve the request.
func TestOperatorsPort(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	first, second := f.start(f.settings("gw-1")), f.start(f.settings("gw-2"))
	p := first.get(testRequest{body: completion("alert", "p", 5, true)})
	p.wantComplete(t, answerTo("p", 5))
	id := p.header.Get(headerRequestID)
	second.eventually("the gateways know each other", func() bool {
		var members []ops.Member
		_, raw := second.operators("/members")
		return json.Unmarshal([]byte(raw), &members) == nil && len(members) == 2 &&
			members[0].State == "live" && members[0].Applied > 0 && members[0].Applied == members[1].Applied
	})
	for _, g := range []*testGateway{first, second} { // the second one did not serve the request
		if code, raw := g.operators("/explain?request=" + id); code != http.StatusOK || !strings.Contains(raw, "chose r1") {
			t.Errorf("explain: %d %s", code, raw)
		}
	}
	if code, _ := first.operators("/explain?request=nobody"); code != http.StatusNotFound {
		t.Errorf("unknown request: %d", code)
	}
	first.eventually("the request is counted", func() bool {
		_, raw := first.operators("/metrics")
		return strings.Contains(raw, `ragwort_gateway_requests_total{outcome="whole",route="alert",zone="zone-a"} 1`)
	})
}

// TestRequestKeepsItsSnapshot checks that a configuration change doesn't affect a request
// in flight.
func TestRequestKeepsItsSnapshot(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	resp, err := testRequest{body: completion("alert", "p", 400, true)}.do(g)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	before := g.snapshot().Version
	f.put(resource.KindRoute, "alert", resource.Route{Model: testModel, Priority: 1, MaxTokens: 3})
	g.eventually("the change is in force", func() bool { return g.snapshot().Version > before })
	readResponse(resp).wantComplete(t, answerTo("p", 400))
	g.get(testRequest{body: completion("alert", "p", 400, true)}).wantComplete(t, answerTo("p", 3))
}

// TestNoConfigurationYet checks that a gateway that can't reach its platform refuses requests with
// config_unavailable and is not ready.
func TestNoConfigurationYet(t *testing.T) {
	f := newFleet(t)
	s := f.settings("gw-1")
	s.Platform.TimeoutMS = 50
	g, err := New(Config{Settings: s}) // nothing listens at its platform's address
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	g.callerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathCompletion, strings.NewReader("{}")))
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), `"config_unavailable"`) {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	if ok, reason := (opsSource{g}).Ready(); ok || reason == "" {
		t.Errorf("ready %v, %q", ok, reason)
	}
	g.shutdown()
}

// TestStartDuringPlatformOutage checks that a gateway that starts while the platform is down can serve if a
// peer has the configuration.
func TestStartDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	first := f.start(f.settings("gw-1"))
	f.store.SetFault(standinplatform.Fault{Outage: true})
	s := f.settings("gw-2")
	s.Peer.Seeds = []string{first.Addresses().Peers.String()}
	f.start(s).get(testRequest{body: completion("alert", "p", 5, true)}).wantComplete(t, answerTo("p", 5))
}

// TestCallersOverTLS checks that the callers' port serves TLS with the certificate from the settings.
func TestCallersOverTLS(t *testing.T) {
	certServer := httptest.NewUnstartedServer(nil)
	certServer.StartTLS()
	cert := certServer.TLS.Certificates[0]
	certServer.Close()
	f := newFleet(t, runner.Config{Name: "r1"})
	s := f.settings("gw-1")
	s.Listen.TLS = writeKeyPair(t, cert)
	g := f.start(s)
	pool := x509.NewCertPool()
	pool.AddCert(certServer.Certificate())
	client := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "example.com"}, DisableKeepAlives: true}
	req, err := http.NewRequest(http.MethodPost, "https://"+g.Addresses().Callers.String()+pathCompletion,
		strings.NewReader(completion("alert", "p", 5, true)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	readResponse(resp).wantComplete(t, answerTo("p", 5))
}

// writeKeyPair writes a certificate and its key to files and returns the settings that name them.
func writeKeyPair(t *testing.T, cert tls.Certificate) settings.TLS {
	t.Helper()
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]pem.Block{
		out.CertFile: {Type: "CERTIFICATE", Bytes: cert.Certificate[0]},
		out.KeyFile:  {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(&block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// TestGatewayEndsWithoutItsPeerPort guards against a gateway that goes on as ready after its port for peers has
// failed: it then had no part in claims and in the limits of client accounts. The error names the setting.
func TestGatewayEndsWithoutItsPeerPort(t *testing.T) {
	f := newFleet(t)
	g, err := New(Config{Settings: f.settings("gw-1"), Store: f.store})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	g.listeners.peers.Close()
	if err := receive(t, "the gateway ends", ended); err == nil || !strings.Contains(err.Error(), "peer.listen") {
		t.Errorf("error %v, want one with peer.listen", err)
	}
}
