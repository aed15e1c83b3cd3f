package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/httphead"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// maxResponseBytes is the maximum size of a response of an operators' port.
const maxResponseBytes = 16 << 20

// operatorsClient queries daemons over their operators' ports.
type operatorsClient struct {
	addresses []string
	key       string
	http      *http.Client
	timeout   time.Duration
}

// checkOperatorAddresses returns a usage error if no address of an operators' port is
// set, or if one is invalid.
func (s *session) checkOperatorAddresses() error {
	if len(s.options.Operators) == 0 {
		return usagef("no daemon's address: give --operators URL or set RAGWORT_OPERATORS")
	}
	for _, address := range s.options.Operators {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return usagef("operators' address %q: want http://host:port or https://host:port", address)
		}
	}
	return nil
}

// newOperatorsClient returns a client for the addresses and the key of the options. The
// caller must call close.
func (s *session) newOperatorsClient() (*operatorsClient, error) {
	if err := s.checkOperatorAddresses(); err != nil {
		return nil, err
	}
	key, err := readKey(s.options.OperatorsKeyFile, operatorsKeyEnv)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	if s.options.CAFile != "" {
		pem, err := os.ReadFile(s.options.CAFile)
		if err != nil {
			return nil, usagef("%v", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("CA file %q holds no PEM certificate", s.options.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &operatorsClient{
		addresses: s.options.Operators,
		key:       key,
		http:      &http.Client{Transport: transport},
		timeout:   s.options.Timeout,
	}, nil
}

// close closes idle connections.
func (o *operatorsClient) close() { o.http.CloseIdleConnections() }

// get queries one daemon and decodes its JSON response into out.
func (o *operatorsClient) get(ctx context.Context, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(address, "/")+path, nil)
	if err != nil {
		return err
	}
	if o.key != "" {
		req.Header.Set("Authorization", "Bearer "+o.key)
	}
	res, err := o.http.Do(req)
	if err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, errkind.NotRun, "operators' port does not answer")
	}
	defer res.Body.Close()
	if err := httphead.Check(res); err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, errkind.NotRun, address)
	}
	body := io.LimitReader(res.Body, maxResponseBytes)
	if res.StatusCode >= http.StatusBadRequest {
		return responseError(address, res.Status, body)
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, errkind.NotRun, address)
	}
	return nil
}

// responseError returns the error in the body of an error response. If the body holds
// none, the error is made from the HTTP status.
func responseError(address, status string, body io.Reader) error {
	var decoded struct {
		Kind    errkind.Kind `json:"kind"`
		Message string       `json:"message"`
	}
	if err := json.NewDecoder(body).Decode(&decoded); err != nil || decoded.Kind == "" {
		return errkind.New(errkind.PlatformUnavailable, errkind.NotRun, address+" answers "+status)
	}
	return errkind.New(decoded.Kind, errkind.NotRun, address+": "+decoded.Message)
}

// members asks every daemon for its list of members and returns the merged lists, sorted
// by zone, role and name. Lists can differ for a moment; see mergeMember. members returns
// an error only if no daemon answers.
func (o *operatorsClient) members(ctx context.Context) ([]ops.Member, error) {
	merged := map[string]ops.Member{}
	var lastErr error
	answered := false
	for _, address := range o.addresses {
		var members []ops.Member
		if err := o.get(ctx, address, "/members", &members); err != nil {
			lastErr = err
			continue
		}
		answered = true
		for _, m := range members {
			merged[m.Role+" "+m.Name] = mergeMember(merged[m.Role+" "+m.Name], m)
		}
	}
	if !answered {
		return nil, errors.Wrap(lastErr, "no daemon answers")
	}
	return sortedMembers(merged), nil
}
