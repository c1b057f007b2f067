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
