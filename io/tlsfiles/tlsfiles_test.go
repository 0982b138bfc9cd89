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
	dev   *DevelopmentCA
	paths Paths
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{is: is.New(t), dir: t.TempDir(), clock: clockwork.NewFakeClockAt(start)}
	f.dev = f.newAuthority()
	f.paths = Paths{filepath.Join(f.dir, "cert.pem"), filepath.Join(f.dir, "key.pem"), filepath.Join(f.dir, "ca.pem")}
	return f
}

func (f *fixture) logger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(&f.log)
	return l
}

func (f *fixture) newAuthority() *DevelopmentCA {
	d, err := NewDevelopmentCA(f.clock, f.logger())
	f.is.NoErr(err)
	return d
}

func (f *fixture) issue(d *DevelopmentCA, validity time.Duration) (certificate, key []byte) {
	certificate, key, err := d.Issue("test", validity, net.IPv4(127, 0, 0, 1))
	f.is.NoErr(err)
	return certificate, key
}

// writeFiles replaces the files and sets their modification times to the time of
// the fake clock.
func (f *fixture) writeFiles(certificate, key, authority []byte) {
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
		// In TLS 1.3 the client learns of a rejected client certificate only at its
		// first read.
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-done, clientErr
}

// Guards against accepting unusable certificate files, error messages that don't
// say what is wrong with them, and key material in error messages.
func TestUnusableFiles(t *testing.T) {
	f := newFixture(t)
	cert, key := f.issue(f.dev, 24*time.Hour)
	expired, expiredKey := f.issue(f.dev, -30*time.Second)
	other := f.newAuthority()
	foreign, foreignKey := f.issue(other, 24*time.Hour)
	ca := f.dev.AuthorityPEM()
	var out bytes.Buffer
	for _, c := range []struct {
		name          string
		cert, key, ca []byte
		missing       string
		clockOffset   time.Duration
	}{
		{name: "missing key", cert: cert, key: key, ca: ca, missing: f.paths.Key},
		{name: "empty certificate", key: key, ca: ca},
		{name: "certificate is not PEM", cert: []byte("hello"), key: key, ca: ca},
		{name: "key is not PEM", cert: cert, key: []byte("hello"), ca: ca},
		{name: "cut key", cert: cert, key: key[:len(key)/2], ca: ca},
		{name: "key of another certificate", cert: cert, key: foreignKey, ca: ca},
		{name: "expired", cert: expired, key: expiredKey, ca: ca},
		{name: "not yet valid", cert: cert, key: key, ca: ca, clockOffset: -time.Hour},
		{name: "other authority", cert: foreign, key: foreignKey, ca: ca},
		{name: "no authority", cert: cert, key: key, ca: []byte("-----BEGIN")},
		{name: "huge file", cert: cert, key: key, ca: make([]byte, maxFileBytes+1)},
	} {
		f.writeFiles(c.cert, c.key, c.ca)
		if c.missing != "" {
			f.is.NoErr(os.Remove(c.missing))
		}
		clock := clockwork.NewFakeClockAt(start.Add(c.clockOffset))
		_, err := Load(f.paths, clock, f.logger())
		f.is.True(err != nil)
		text := strings.ReplaceAll(err.Error(), f.dir+"/", "")
		f.is.True(!strings.Contains(text, "PRIVATE") && !strings.Contains(text, string(key[40:60])))
		fmt.Fprintf(&out, "%s\n  %s\n", c.name, text)
	}
	goldie.New(t).Assert(t, "unusable", out.Bytes())
}

// Guards against renewed certificates or authorities that take effect only after
// a restart, and against broken files that replace working certificates.
func TestReload(t *testing.T) {
	f := newFixture(t)
	cert, key := f.issue(f.dev, 24*time.Hour)
	f.writeFiles(cert, key, f.dev.AuthorityPEM())
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
	f.writeFiles(cert[:len(cert)/2], key, f.dev.AuthorityPEM())
	changed, err = files.Poll()
	f.is.True(err != nil && !changed)
	s, c = handshake(server, files.Client())
	f.is.NoErr(s) // the previous certificates stay in use
	f.is.NoErr(c)

	f.clock.Advance(25 * time.Hour)
	_, c = handshake(server, files.Client())
	f.is.True(c != nil) // expired
	next := f.newAuthority()
	cert, key = f.issue(next, 24*time.Hour)
	f.writeFiles(cert, key, next.AuthorityPEM())
	changed, err = files.Poll()
	f.is.NoErr(err)
	f.is.True(changed)
	s, c = handshake(server, files.Client()) // the same listener uses the new files
	f.is.NoErr(s)
	f.is.NoErr(c)
	f.is.True(strings.Contains(f.log.String(), "expires soon"))
	f.is.True(strings.Contains(f.log.String(), "generated an authority"))
}

// Guards against trusting a peer without a certificate of the authority, or a
// server at an address that its certificate does not name.
func TestUntrustedPeers(t *testing.T) {
	f := newFixture(t)
	server, client, err := f.dev.Configs("a")
	f.is.NoErr(err)
	foreignServer, foreignClient, err := f.newAuthority().Configs("b")
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
	f.writeFiles(cert, key, f.dev.AuthorityPEM())
	files, err := Load(f.paths, f.clock, f.logger())
	f.is.NoErr(err)
	_, c = handshake(files.Server(), client)
	f.is.True(c != nil) // certificate for another address
}
