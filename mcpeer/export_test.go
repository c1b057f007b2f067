package mcpeer

import "time"

// ForgetCheck makes the next connection look at the files again.
func ForgetCheck(c *Credentials) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = time.Time{}
}

// HasLimit tells whether the field has a limit of its own.
func HasLimit(path string) bool {
	_, listed := fieldLimits[path]
	return listed
}
