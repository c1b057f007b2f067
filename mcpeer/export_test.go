package mcpeer

import "time"

// ForceFileCheck makes the next handshake check the files without waiting for reloadInterval.
func ForceFileCheck(c *Credentials) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCheck = time.Time{}
}

// HasLimit reports whether fieldLimits has an entry for the field.
func HasLimit(path string) bool {
	_, listed := fieldLimits[path]
	return listed
}

// CloseIdleAt closes the connections that are idle at the time.
func (p *Pool) CloseIdleAt(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweptAt = time.Time{}
	p.closeIdle(now)
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}
