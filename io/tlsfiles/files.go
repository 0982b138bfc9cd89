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
	// PollInterval is the time between two checks of the files' modification times.
	PollInterval = 10 * time.Second
	// expiryWarningPeriod is how long before the expiry of a certificate the daily
	// warnings begin.
	expiryWarningPeriod = 7 * 24 * time.Hour
	// maxFileBytes limits the size of each file, so that a wrong path does not
	// exhaust memory.
	maxFileBytes = 1 << 20
)

// CertificateError reports a certificate, key or authority file that can't be used.
type CertificateError struct {
	// File is the path of the file. The contents of key files never appear in an error.
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

// Paths holds the paths of the PEM files of one process.
type Paths struct {
	// Certificate is the file of the process's certificate, followed by
	// intermediate certificates.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is the file of the certificates of the authorities that sign peers'
	// certificates.
	Authority string `yaml:"authority"`
}

// Files provides TLS configurations with the certificates last loaded from files.
// Files that can't be used never replace those in use.
type Files struct {
	paths Paths
	clock oleandervalve.Clock
	log   logrus.FieldLogger

	mu                sync.RWMutex
	loaded            *material
	modTimes          [3]time.Time
	lastExpiryWarning time.Time
}

// material is a certificate with its key, and the authorities that sign peers'
// certificates, as they were loaded together.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// Load reads the files for the first time. Its errors are *CertificateError.
func Load(p Paths, c oleandervalve.Clock, log logrus.FieldLogger) (*Files, error) {
	f := &Files{paths: p, clock: c, log: log}
	modified, err := f.statFiles()
	if err != nil {
		return nil, err
	}
	m, err := f.loadMaterial()
	if err != nil {
		return nil, err
	}
	f.loaded, f.modTimes = m, modified
	return f, nil
}

// Run reloads changed files every PollInterval until the context ends. It logs
// errors and goes on.
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

// Poll reloads the files if their modification times changed, and reports whether
// it did. On an error the previous certificates stay in use, and the next call
// tries again.
func (f *Files) Poll() (bool, error) {
	f.warnExpiry()
	modified, err := f.statFiles()
	if err != nil {
		return false, err
	}
	f.mu.RLock()
	unchanged := modified == f.modTimes
	f.mu.RUnlock()
	if unchanged {
		return false, nil
	}
	m, err := f.loadMaterial()
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	f.loaded, f.modTimes, f.lastExpiryWarning = m, modified, time.Time{}
	f.mu.Unlock()
	f.log.WithField("expires", m.certificate.Leaf.NotAfter.UTC()).Info("certificates loaded")
	return true, nil
}

func (f *Files) warnExpiry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, end := f.clock.Now(), f.loaded.certificate.Leaf.NotAfter
	if end.Sub(now) < expiryWarningPeriod && now.Sub(f.lastExpiryWarning) >= 24*time.Hour {
		f.lastExpiryWarning = now
		f.log.WithFields(logrus.Fields{"file": f.paths.Certificate, "expires": end.UTC()}).
			Warn("certificate expires soon; replace its file")
	}
}

func (f *Files) statFiles() (out [3]time.Time, err error) {
	for i, p := range []string{f.paths.Certificate, f.paths.Key, f.paths.Authority} {
		s, err := os.Stat(p)
		if err != nil {
			return out, &CertificateError{p, "the file can't be read", "check the path in the settings and its permissions", err}
		}
		if s.Size() > maxFileBytes || s.IsDir() {
			return out, &CertificateError{File: p, Detail: "not a PEM file", Remedy: "name a PEM file of at most 1 MiB"}
		}
		out[i] = s.ModTime()
	}
	return out, nil
}

func (f *Files) loadMaterial() (*material, error) {
	var contents [3][]byte
	for i, p := range []string{f.paths.Certificate, f.paths.Key, f.paths.Authority} {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, &CertificateError{p, "the file can't be read", "check the path in the settings and its permissions", err}
		}
		contents[i] = b
	}
	return parseMaterial(f.paths, contents, f.clock.Now())
}

// parseMaterial parses the contents of the certificate, key and authority files,
// in this order. It verifies that they belong together and are valid now.
func parseMaterial(p Paths, contents [3][]byte, now time.Time) (*material, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(contents[2]) {
		return nil, &CertificateError{File: p.Authority, Detail: "no certificate in the file", Remedy: "give the authority's certificates in PEM form"}
	}
	// The library's error may quote the contents of the key file, so it is not wrapped.
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
	if err := verifyChain(leaf, pair.Certificate[1:], roots, now); err != nil {
		return nil, &CertificateError{p.Certificate, "not signed by the authority in " + p.Authority, "use a certificate of this authority, valid for clients and servers", err}
	}
	return &material{certificate: pair, roots: roots}, nil
}

// verifyChain verifies that a leaf certificate is signed by one of the roots, for
// use by both servers and clients.
func verifyChain(leaf *x509.Certificate, intermediateDER [][]byte, roots *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, der := range intermediateDER {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		intermediates.AddCert(c)
	}
	// A process uses the same certificate as server and as client, so it needs
	// both key usages.
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
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

// Server returns the configuration of a listener that requires peers to present
// a certificate signed by the authority. Each new connection uses the
// certificates loaded last, so a listener needs no restart after a reload.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return serverConfig(f.current(), f.clock), nil
		},
	}
}

// ServerWithoutClientCerts returns the configuration of a listener whose clients
// authenticate without a certificate, for example by bearer tokens.
func (f *Files) ServerWithoutClientCerts() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &f.current().certificate, nil
		},
	}
}

// Client returns the configuration of one connection to a peer. It holds the
// certificates loaded at the time of the call and does not follow reloads, so
// call Client again for each connection.
func (f *Files) Client() *tls.Config { return clientConfig(f.current(), f.clock) }

// DialTLS connects to a peer with the current certificates. Use it as
// http.Transport.DialTLSContext: with a TLSClientConfig, the transport would keep
// its first certificates. The peer's certificate must name the dialled address.
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
