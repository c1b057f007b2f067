package mcpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"

	"marigoldcroft"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

type (
	// TLSFiles holds the paths of the PEM files for mutual TLS. Changed files are reloaded, so
	// that certificates can be replaced without a restart.
	TLSFiles struct {
		CertificateFile string
		KeyFile         string
		AuthorityFile   string
	}

	// Credentials provides mutual TLS from TLSFiles. Peers must present a certificate signed
	// by one of the authorities. A client also checks that the server's certificate is
	// valid for the address.
	Credentials struct {
		files TLSFiles

		mu             sync.Mutex
		config         *tls.Config
		lastCheck      time.Time
		loadedVersions [3]fileVersion
		// loadErr is the error of the last attempt to load changed files, or nil.
		loadErr error
	}

	fileVersion struct {
		modified time.Time
		size     int64
	}

	// clientCredentials uses the current files for each new connection.
	clientCredentials struct {
		credentials.TransportCredentials
		source *Credentials
	}
)

// NewCredentials loads the files and returns an error if they cannot be used.
func NewCredentials(files TLSFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	config, err := c.load()
	if err != nil {
		return nil, marigoldcroft.NewFailure("read certificates", KindTLS, err)
	}
	c.config, c.loadedVersions, c.lastCheck = config, c.fileVersions(), time.Now()
	return c, nil
}

func (c *Credentials) load() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "%s and %s", c.files.CertificateFile, c.files.KeyFile)
	}
	pem, err := os.ReadFile(c.files.AuthorityFile)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", c.files.AuthorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"h2"},
	}, nil
}

func (c *Credentials) fileVersions() (versions [3]fileVersion) {
	for i, name := range []string{c.files.CertificateFile, c.files.KeyFile, c.files.AuthorityFile} {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

// currentConfig returns the TLS configuration of the files, which it reloads if they have
// changed. If they cannot be loaded, for example because only some of them have been
// replaced so far, it returns the last valid configuration.
func (c *Credentials) currentConfig() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		c.reloadIfChanged()
	}
	return c.config
}

// reloadIfChanged loads the files if they have changed or the last attempt failed. It requires
// mu to be held.
func (c *Credentials) reloadIfChanged() {
	versions := c.fileVersions()
	if versions == c.loadedVersions && c.loadErr == nil {
		return
	}
	config, err := c.load()
	c.loadErr = err
	if err == nil {
		c.config, c.loadedVersions = config, versions
	}
}

// ReloadError returns the error that keeps changed files from being used, or nil.
func (c *Credentials) ReloadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadErr == nil {
		return nil
	}
	return marigoldcroft.NewFailure("read certificates", KindTLS, c.loadErr)
}

// Server returns transport credentials for a gRPC server.
func (c *Credentials) Server() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.currentConfig(), nil
		},
	})
}

// Client returns transport credentials for a gRPC client.
func (c *Credentials) Client() credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: credentials.NewTLS(c.currentConfig()), source: c}
}

// ClientHandshake performs the TLS handshake with the current files.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.source.currentConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone returns a copy.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: c.TransportCredentials.Clone(), source: c.source}
}
