package mcforward

// Confirming returns the number of endpoints whose health is being checked after their record has
// returned.
func (f *Forwarder) Confirming() int { return len(f.confirming) }
