// Package mcring provides the bounded ring that joins goroutines of different duties.
package mcring

// Ring is a bounded first-in first-out queue between goroutines. It is a thin type
// over a buffered channel, which works with select and with testing/synctest.
type Ring[T any] struct {
	// items is never closed, so that a late producer cannot panic.
	items chan T
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds the item, or returns false when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// PutNewest adds the item and drops the oldest items when the ring is full. It
// returns the number of dropped items.
func (r *Ring[T]) PutNewest(item T) int {
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
