package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
)

const (
	// PollInterval is the time between checks of the files' modification times.
	PollInterval = 10 * time.Second
	// warnBefore is how long before its expiry a certificate is reported.
	warnBefore = 7 * 24 * time.Hour
	// maxFile bounds each file, so that a wrong path does not fill the memory.
	maxFile = 1 << 20
)

// CertificateError reports certificate files that can't be used.
type CertificateError struct {
	// File is the file at fault; the contents of key files are never repeated.
	File   string
	Detail string
	Remedy string
	Cause  error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate file %s: %s: %s", e.File, e.Detail, e.Remedy)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// Paths names the PEM files of one process.
type Paths struct {
	// Certificate is the process's certificate, followed by intermediate ones.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority holds the certificates of the authorities that sign peers.
	Authority string `yaml:"authority"`
}

// Files serves the newest usable certificates from files.
type Files struct {
	paths Paths
	clock oleandervalve.Clock
	log   logrus.FieldLogger

	mu       sync.RWMutex
	loaded   *material
	modified [3]time.Time
	warned   time.Time
}

// material is one consistent set of certificates.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// Load reads the files; an error is *CertificateError.
func Load(p Paths, c oleandervalve.Clock, log logrus.FieldLogger) (*Files, error) {
	f := &Files{paths: p, clock: c, log: log}
	modified, err := f.stat()
	if err != nil {
		return nil, err
	}
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	f.loaded, f.modified = m, modified
	return f, nil
}

// Run checks for changed files until the context ends.
func (f *Files) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(PollInterval):
		}
		if _, err := f.Poll(); err != nil {
			f.log.WithError(err).Error("changed certificates were not loaded; the earlier ones stay in use")
		}
	}
}

// Poll loads the files if they changed and reports whether it did. On an error
// the earlier certificates stay in use, and the next poll tries again.
func (f *Files) Poll() (bool, error) {
	f.warnExpiry()
	modified, err := f.stat()
	if err != nil {
		return false, err
	}
	f.mu.RLock()
	same := modified == f.modified
	f.mu.RUnlock()
	if same {
		return false, nil
	}
	m, err := f.read()
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	f.loaded, f.modified, f.warned = m, modified, time.Time{}
	f.mu.Unlock()
	f.log.WithField("expires", m.certificate.Leaf.NotAfter.UTC()).Info("certificates loaded")
	return true, nil
}

func (f *Files) warnExpiry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, end := f.clock.Now(), f.loaded.certificate.Leaf.NotAfter
	if end.Sub(now) < warnBefore && now.Sub(f.warned) >= 24*time.Hour {
		f.warned = now
		f.log.WithFields(logrus.Fields{"file": f.paths.Certificate, "expires": end.UTC()}).
			Warn("certificate expires soon; replace its file")
	}
}

func (f *Files) stat() (out [3]time.Time, err error) {
	for i, p := range []string{f.paths.Certificate, f.paths.Key, f.paths.Authority} {
		s, err := os.Stat(p)
		if err != nil {
			return out, &CertificateError{p, "the file can't be read", "check the path in the settings and its permissions", err}
		}
		if s.Size() > maxFile || s.IsDir() {
			return out, &CertificateError{File: p, Detail: "not a PEM file", Remedy: "name a PEM file of at most 1 MiB"}
		}
		out[i] = s.ModTime()
	}
	return out, nil
}

func (f *Files) read() (*material, error) {
	var contents [3][]byte
	for i, p := range []string{f.paths.Certificate, f.paths.Key, f.paths.Authority} {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, &CertificateError{p, "the file can't be read", "check the path in the settings and its permissions", err}
		}
		contents[i] = b
	}
	return check(f.paths, contents, f.clock.Now())
}

// check verifies that certificate, key and authority belong together and are valid now.
func check(p Paths, contents [3][]byte, now time.Time) (*material, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(contents[2]) {
		return nil, &CertificateError{File: p.Authority, Detail: "no certificate in the file", Remedy: "give the authority's certificates in PEM form"}
	}
	// The error of the library may quote the file, so it is not passed on for a key.
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		if !x509.NewCertPool().AppendCertsFromPEM(contents[0]) {
			return nil, &CertificateError{File: p.Certificate, Detail: "no certificate in the file", Remedy: "give the process's certificate in PEM form"}
		}
		return nil, &CertificateError{File: p.Key, Detail: "the key does not belong to the certificate " + p.Certificate, Remedy: "replace key and certificate together"}
	}
	leaf := pair.Leaf
	switch {
	case now.After(leaf.NotAfter):
		return nil, &CertificateError{File: p.Certificate, Detail: "expired at " + leaf.NotAfter.UTC().Format(time.RFC3339), Remedy: "renew the certificate"}
	case now.Before(leaf.NotBefore):
		return nil, &CertificateError{File: p.Certificate, Detail: "not valid before " + leaf.NotBefore.UTC().Format(time.RFC3339), Remedy: "check the clock of this instance"}
	}
	if err := verify(leaf, pair.Certificate[1:], roots, now); err != nil {
		return nil, &CertificateError{p.Certificate, "not signed by the authority in " + p.Authority, "use a certificate of this authority, valid for clients and servers", err}
	}
	return &material{certificate: pair, roots: roots}, nil
}

func verify(leaf *x509.Certificate, rest [][]byte, roots *x509.CertPool, now time.Time) error {
	between := x509.NewCertPool()
	for _, der := range rest {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		between.AddCert(c)
	}
	// The same certificate serves both directions, so it needs both usages.
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: between, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Files) current() *material {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.loaded
}

// Server returns the configuration of a listener that requires peers to
// present a certificate of the authority.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return serverConfig(f.current(), f.clock), nil
		},
	}
}

// Listener returns the configuration of a listener whose clients prove
// themselves by other means than a certificate, such as bearer tokens.
func (f *Files) Listener() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &f.current().certificate, nil
		},
	}
}

// Client returns the configuration of one connection to a peer. It holds the
// certificates that are current now; a new connection needs a new one.
func (f *Files) Client() *tls.Config { return clientConfig(f.current(), f.clock) }

// DialTLS connects to a peer with the current certificates. It is meant for
// http.Transport.DialTLSContext, which would otherwise keep its first
// configuration. The peer's certificate must name the dialled address.
func (f *Files) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	d := tls.Dialer{Config: f.Client()}
	return d.DialContext(ctx, network, address)
}

func serverConfig(m *material, c oleandervalve.Clock) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: c.Now,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
	}
}

func clientConfig(m *material, c oleandervalve.Clock) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: c.Now,
		Certificates: []tls.Certificate{m.certificate}, RootCAs: m.roots,
	}
}
