package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/settings"
	"oleandervalve/io/tlsfiles"
)

// loadCertificates loads the files of mutual TLS and keeps them current until
// stop is called; it returns nil if the settings name none.
func loadCertificates(t settings.TLS, log *logrus.Entry) (files *tlsfiles.Files, stop func(), err error) {
	if t.Certificate == "" {
		log.Warn("connections between entries and agents are not encrypted; name the files of tls in the settings")
		return nil, func() {}, nil
	}
	files, err = tlsfiles.Load(tlsfiles.Paths{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}, oleandervalve.SystemClock(), log)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go files.Run(ctx)
	return files, cancel, nil
}
