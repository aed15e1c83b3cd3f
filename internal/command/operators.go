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

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// maxAnswerBytes bounds an answer of an operators' port.
const maxAnswerBytes = 16 << 20

// operators asks daemons over their operators' ports.
type operators struct {
	addresses []string
	key       string
	http      *http.Client
	timeout   time.Duration
}

// needOperators refuses a command that needs daemons' addresses without any.
func (s *session) needOperators() error {
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

func (s *session) operators() (*operators, error) {
	if err := s.needOperators(); err != nil {
		return nil, err
	}
	key, err := readKey(s.options.OperatorsKeyFile, operatorsKeyVariable)
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
	return &operators{
		addresses: s.options.Operators,
		key:       key,
		http:      &http.Client{Transport: transport},
		timeout:   s.options.Timeout,
	}, nil
}

// close drops idle connections.
func (o *operators) close() { o.http.CloseIdleConnections() }

// get asks one daemon and decodes its answer into out.
func (o *operators) get(ctx context.Context, address, path string, out any) error {
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
	body := io.LimitReader(res.Body, maxAnswerBytes)
	if res.StatusCode >= http.StatusBadRequest {
		return operatorsError(address, res.Status, body)
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return errkind.Wrap(err, errkind.PlatformUnavailable, errkind.NotRun, address)
	}
	return nil
}

// operatorsError reads the kind out of an error answer.
func operatorsError(address, status string, body io.Reader) error {
	var answer struct {
		Kind    errkind.Kind `json:"kind"`
		Message string       `json:"message"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil || answer.Kind == "" {
		return errkind.New(errkind.PlatformUnavailable, errkind.NotRun, address+" answers "+status)
	}
	return errkind.New(answer.Kind, errkind.NotRun, address+": "+answer.Message)
}

// members joins what the daemons say of each other. Each one's newest version
// counts; states differ for a moment, and the worst one counts. It fails only
// when no daemon answers.
func (o *operators) members(ctx context.Context) ([]ops.Member, error) {
	joined := map[string]ops.Member{}
	var failure error
	answered := false
	for _, address := range o.addresses {
		var members []ops.Member
		if err := o.get(ctx, address, "/members", &members); err != nil {
			failure = err
			continue
		}
		answered = true
		for _, m := range members {
			joined[m.Role+" "+m.Name] = joinMember(joined[m.Role+" "+m.Name], m)
		}
	}
	if !answered {
		return nil, errors.Wrap(failure, "no daemon answers")
	}
	return sortedMembers(joined), nil
}
