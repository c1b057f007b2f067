// Package mcring provides a bounded queue that passes items between goroutines.
package mcring

// Ring is a bounded FIFO queue between goroutines. It wraps a buffered channel, so that it
// works with select and with testing/synctest.
type Ring[T any] struct {
	// items is never closed, as a producer that sends after the close would panic.
	items chan T
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds the item without blocking and returns true, or returns false if the ring is
// full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// PutDroppingOldest adds the item without blocking. If the ring is full, it first removes the
// oldest items. It returns the number of removed items.
func (r *Ring[T]) PutDroppingOldest(item T) int {
	dropped := 0
	for !r.TryPut(item) {
		select {
		case <-r.items:
			dropped++
		default:
		}
	}
	return dropped
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }
