package mcpeer

import "crypto/tls"

// HTTPServer returns the TLS configuration of an HTTP server that requires client
// certificates. New connections use the current files.
func (c *Credentials) HTTPServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.httpConfig(), nil
		},
	}
}

// HTTPClient returns the TLS configuration of an HTTP client. Later changes of the files do
// not affect it.
func (c *Credentials) HTTPClient() *tls.Config { return c.httpConfig() }

func (c *Credentials) httpConfig() *tls.Config {
	config := c.currentConfig().Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	return config
}
