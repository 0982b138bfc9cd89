package tlsfiles

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

type fixture struct {
	is    *is.I
	dir   string
	clock *clockwork.FakeClock
	log   bytes.Buffer
	dev   *Development
	paths Paths
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{is: is.New(t), dir: t.TempDir(), clock: clockwork.NewFakeClockAt(start)}
	f.dev = f.authority()
	f.paths = Paths{filepath.Join(f.dir, "cert.pem"), filepath.Join(f.dir, "key.pem"), filepath.Join(f.dir, "ca.pem")}
	return f
}

func (f *fixture) logger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(&f.log)
	return l
}

func (f *fixture) authority() *Development {
	d, err := NewDevelopment(f.clock, f.logger())
	f.is.NoErr(err)
	return d
}

func (f *fixture) issue(d *Development, life time.Duration) (certificate, key []byte) {
	certificate, key, err := d.Issue("test", life, net.IPv4(127, 0, 0, 1))
	f.is.NoErr(err)
	return certificate, key
}

// write replaces the files; their modification times follow the fake clock.
func (f *fixture) write(certificate, key, authority []byte) {
	for p, b := range map[string][]byte{f.paths.Certificate: certificate, f.paths.Key: key, f.paths.Authority: authority} {
		f.is.NoErr(os.WriteFile(p, b, 0o600))
		f.is.NoErr(os.Chtimes(p, f.clock.Now(), f.clock.Now()))
	}
}

// handshake connects a client to a server and returns the error of each side.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		_ = a.Close()
		done <- err
	}()
	c := tls.Client(b, client)
	if clientErr = c.Handshake(); clientErr == nil {
		// With TLS 1.3 a refused client certificate shows at the first read.
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-done, clientErr
}

// Guards against unusable certificates that are accepted, vague errors about
// them, and key material in errors.
func TestUnusableFiles(t *testing.T) {
	f := newFixture(t)
	cert, key := f.issue(f.dev, 24*time.Hour)
	short, shortKey := f.issue(f.dev, -30*time.Second)
	other := f.authority()
	foreign, foreignKey := f.issue(other, 24*time.Hour)
	ca := f.dev.AuthorityPEM()
	var out bytes.Buffer
	for _, c := range []struct {
		about          string
		cert, key, ca  []byte
		missing        string
		clockDifferent time.Duration
	}{
		{about: "missing key", cert: cert, key: key, ca: ca, missing: f.paths.Key},
		{about: "empty certificate", key: key, ca: ca},
		{about: "certificate is not PEM", cert: []byte("hello"), key: key, ca: ca},
		{about: "key is not PEM", cert: cert, key: []byte("hello"), ca: ca},
		{about: "cut key", cert: cert, key: key[:len(key)/2], ca: ca},
		{about: "key of another certificate", cert: cert, key: foreignKey, ca: ca},
		{about: "expired", cert: short, key: shortKey, ca: ca},
		{about: "not yet valid", cert: cert, key: key, ca: ca, clockDifferent: -time.Hour},
		{about: "other authority", cert: foreign, key: foreignKey, ca: ca},
		{about: "no authority", cert: cert, key: key, ca: []byte("-----BEGIN")},
		{about: "huge file", cert: cert, key: key, ca: make([]byte, maxFile+1)},
	} {
		f.write(c.cert, c.key, c.ca)
		if c.missing != "" {
			f.is.NoErr(os.Remove(c.missing))
		}
		clock := clockwork.NewFakeClockAt(start.Add(c.clockDifferent))
		_, err := Load(f.paths, clock, f.logger())
		f.is.True(err != nil)
		text := strings.ReplaceAll(err.Error(), f.dir+"/", "")
		f.is.True(!strings.Contains(text, "PRIVATE") && !strings.Contains(text, string(key[40:60])))
		fmt.Fprintf(&out, "%s\n  %s\n", c.about, text)
	}
	goldie.New(t).Assert(t, "unusable", out.Bytes())
}

// Guards against a restart that a renewed certificate or authority would
// need, and against broken files that replace working ones.
func TestReload(t *testing.T) {
	f := newFixture(t)
	cert, key := f.issue(f.dev, 24*time.Hour)
	f.write(cert, key, f.dev.AuthorityPEM())
	files, err := Load(f.paths, f.clock, f.logger())
	f.is.NoErr(err)
	server := files.Server()
	s, c := handshake(server, files.Client())
	f.is.NoErr(s)
	f.is.NoErr(c)

	changed, err := files.Poll()
	f.is.NoErr(err)
	f.is.True(!changed)

	f.clock.Advance(time.Minute)
	f.write(cert[:len(cert)/2], key, f.dev.AuthorityPEM())
	changed, err = files.Poll()
	f.is.True(err != nil && !changed)
	s, c = handshake(server, files.Client())
	f.is.NoErr(s) // the earlier certificates stay in use
	f.is.NoErr(c)

	f.clock.Advance(25 * time.Hour)
	_, c = handshake(server, files.Client())
	f.is.True(c != nil) // expired
	next := f.authority()
	cert, key = f.issue(next, 24*time.Hour)
	f.write(cert, key, next.AuthorityPEM())
	changed, err = files.Poll()
	f.is.NoErr(err)
	f.is.True(changed)
	s, c = handshake(server, files.Client()) // the same listener uses the new files
	f.is.NoErr(s)
	f.is.NoErr(c)
	f.is.True(strings.Contains(f.log.String(), "expires soon"))
	f.is.True(strings.Contains(f.log.String(), "generated an authority"))
}

// Guards against peers that are trusted without a certificate of the authority
// or at another address than their certificate names.
func TestUntrustedPeers(t *testing.T) {
	f := newFixture(t)
	server, client, err := f.dev.Configs("a")
	f.is.NoErr(err)
	foreignServer, foreignClient, err := f.authority().Configs("b")
	f.is.NoErr(err)
	s, c := handshake(server, client)
	f.is.NoErr(s)
	f.is.NoErr(c)
	_, c = handshake(foreignServer, client)
	f.is.True(c != nil) // server of another authority
	s, _ = handshake(server, foreignClient)
	f.is.True(s != nil) // client of another authority
	s, _ = handshake(server, &tls.Config{InsecureSkipVerify: true})
	f.is.True(s != nil) // client without a certificate
	cert, key, err := f.dev.Issue("elsewhere", time.Hour, net.IPv4(10, 0, 0, 1))
	f.is.NoErr(err)
	f.write(cert, key, f.dev.AuthorityPEM())
	files, err := Load(f.paths, f.clock, f.logger())
	f.is.NoErr(err)
	_, c = handshake(files.Server(), client)
	f.is.True(c != nil) // certificate of another address
}
