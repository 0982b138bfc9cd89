package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/settings"
	"oleandervalve/io/tlsfiles"
)

// loadCertificates loads the mutual TLS files and reloads them when they change,
// until stop is called. It returns nil files if the settings configure no TLS.
func loadCertificates(t settings.TLS, log *logrus.Entry) (files *tlsfiles.Files, stop func(), err error) {
	if t.Certificate == "" {
		log.Warn("connections between entries and agents are not encrypted; configure the tls files in the settings")
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
