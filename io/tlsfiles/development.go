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

// developmentLife is the validity of generated certificates; a development
// system does not run longer without a restart.
const developmentLife = 30 * 24 * time.Hour

// Development is an authority in memory that signs certificates for loopback addresses.
type Development struct {
	clock       oleandervalve.Clock
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewDevelopment generates an authority and logs that it did.
func NewDevelopment(c oleandervalve.Clock, log logrus.FieldLogger) (*Development, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate development key")
	}
	now := c.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "oleandervalve development authority"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(developmentLife),
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
	return &Development{clock: c, key: key, certificate: ca}, nil
}

// AuthorityPEM returns the authority's certificate.
func (d *Development) AuthorityPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: d.certificate.Raw})
}

// Issue returns a certificate and its key in PEM form for a process at the given addresses.
func (d *Development) Issue(name string, life time.Duration, addresses ...net.IP) (certificate, key []byte, err error) {
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
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(life), KeyUsage: x509.KeyUsageDigitalSignature,
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

// Configs returns the configurations of a listener and of connections of one process on loopback.
func (d *Development) Configs(name string) (server, client *tls.Config, err error) {
	certificate, key, err := d.Issue(name, developmentLife, net.IPv4(127, 0, 0, 1), net.IPv6loopback)
	if err != nil {
		return nil, nil, err
	}
	m, err := check(Paths{"development certificate", "development key", "development authority"},
		[3][]byte{certificate, key, d.AuthorityPEM()}, d.clock.Now())
	if err != nil {
		return nil, nil, err
	}
	return serverConfig(m, d.clock), clientConfig(m, d.clock), nil
}
