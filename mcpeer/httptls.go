package mcpeer

import "crypto/tls"

// HTTPServer returns the configuration of an HTTP server that requires a client
// certificate. Changed files are used for new connections.
func (c *Credentials) HTTPServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.http(), nil
		},
	}
}

// HTTPClient returns the configuration of an HTTP client with the files as they are now.
func (c *Credentials) HTTPClient() *tls.Config { return c.http() }

func (c *Credentials) http() *tls.Config {
	config := c.current().Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	return config
}
