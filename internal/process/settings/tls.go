package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Enabled reports whether the port uses TLS, that is, whether a certificate is named.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Server returns the TLS configuration of a listening port, or nil for plain TCP. It
// returns an error of kind InvalidSettings if a file cannot be loaded. Certificate and
// key are reloaded when their files change. If reloading fails, the previous pair stays
// in use.
func (t TLS) Server() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	source := &certificateSource{certFile: t.CertFile, keyFile: t.KeyFile}
	if _, err := source.get(); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "load certificate")
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return source.get()
		},
	}
	if t.ClientCAFile == "" {
		return config, nil
	}
	pool, err := LoadPool(t.ClientCAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// Client returns the TLS configuration for dialing. It trusts the authorities in caFile,
// or those of the system if caFile is empty. As a client it presents the certificate of
// the port that t configures, if there is one.
func (t TLS) Client(caFile string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile != "" {
		pool, err := LoadPool(caFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if t.Enabled() {
		source := &certificateSource{certFile: t.CertFile, keyFile: t.KeyFile}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.get()
		}
	}
	return config, nil
}

// LoadPool reads a pool of certificate authorities from a PEM file. It returns an error
// of kind InvalidSettings if the file cannot be read or holds no certificate.
func LoadPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, errkind.NotRun, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errkind.Field(errkind.InvalidSettings, "caFile", file+" holds no certificate")
	}
	return pool, nil
}

// certificateSource loads a certificate and reloads it when one of its files changes.
type certificateSource struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate // nil until the first successful load
	version fileVersion      // of the files that current was loaded from
}

// fileVersion holds the modification times and sizes of the certificate file and the key
// file, to detect changes.
type fileVersion struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// get returns the certificate and loads it first if it is not loaded or a file changed.
func (s *certificateSource) get() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.statFiles()
	if err != nil {
		return s.fallback(err)
	}
	if s.current != nil && version == s.version {
		return s.current, nil
	}
	pair, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return s.fallback(err)
	}
	s.current, s.version = &pair, version
	return s.current, nil
}

// fallback returns the previous certificate after a failed load, since someone may be in
// the middle of replacing the files. It returns the error if there is no previous one.
func (s *certificateSource) fallback(err error) (*tls.Certificate, error) {
	if s.current != nil {
		return s.current, nil
	}
	return nil, errors.Wrap(err, "no certificate")
}

func (s *certificateSource) statFiles() (fileVersion, error) {
	cert, err := os.Stat(s.certFile)
	if err != nil {
		return fileVersion{}, err
	}
	key, err := os.Stat(s.keyFile)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{cert.ModTime(), key.ModTime(), cert.Size(), key.Size()}, nil
}
