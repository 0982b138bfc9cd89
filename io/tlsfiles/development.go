package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
)

// developmentValidity is the validity of generated certificates. They are not
// renewed, because a development system is restarted more often than that.
const developmentValidity = 30 * 24 * time.Hour

// DevelopmentCA is an in-memory certificate authority for development. It signs
// the certificates of processes on loopback addresses.
type DevelopmentCA struct {
	clock       oleandervalve.Clock
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewDevelopmentCA generates an authority and logs a warning that it is in use.
func NewDevelopmentCA(c oleandervalve.Clock, log logrus.FieldLogger) (*DevelopmentCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate development key")
	}
	now := c.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "oleandervalve development authority"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(developmentValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign development authority")
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "read development authority")
	}
	log.WithField("expires", ca.NotAfter.UTC()).
		Warn("development mode: generated an authority and keys in memory; do not use them outside development")
	return &DevelopmentCA{clock: c, key: key, certificate: ca}, nil
}

// AuthorityPEM returns the authority's certificate in PEM form.
func (d *DevelopmentCA) AuthorityPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: d.certificate.Raw})
}

// Issue returns a certificate and its key in PEM form for a process at the given addresses.
func (d *DevelopmentCA) Issue(name string, validity time.Duration, addresses ...net.IP) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate development key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate serial number")
	}
	now := d.clock.Now()
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, IPAddresses: addresses, DNSNames: []string{"localhost"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, d.certificate, &k.PublicKey, d.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign development certificate")
	}
	b, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode development key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b}), nil
}

// Configs returns the TLS configurations of one process on loopback: that of its
// listener and that of its outgoing connections.
func (d *DevelopmentCA) Configs(name string) (server, client *tls.Config, err error) {
	certificate, key, err := d.Issue(name, developmentValidity, net.IPv4(127, 0, 0, 1), net.IPv6loopback)
	if err != nil {
		return nil, nil, err
	}
	m, err := parseMaterial(Paths{"development certificate", "development key", "development authority"},
		[3][]byte{certificate, key, d.AuthorityPEM()}, d.clock.Now())
	if err != nil {
		return nil, nil, err
	}
	return serverConfig(m, d.clock), clientConfig(m, d.clock), nil
}
