package mcscheduler

// indexedHeap is a binary min-heap whose items store their own index, so that any item
// can be removed in logarithmic time.
type indexedHeap struct {
	items []*item
	less  func(a, b *item) bool
	// indexOf returns where the item stores its index in this heap; the index is -1
	// outside the heap.
	indexOf func(it *item) *int
}

func (h *indexedHeap) len() int { return len(h.items) }

func (h *indexedHeap) top() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *indexedHeap) push(it *item) {
	h.items = append(h.items, it)
	h.up(len(h.items) - 1)
}

// remove takes the item out; it does nothing when the item is not in the heap.
func (h *indexedHeap) remove(it *item) {
	i := *h.indexOf(it)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
	*h.indexOf(it) = -1
}

func (h *indexedHeap) up(i int) {
	it := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(it, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, it)
}

func (h *indexedHeap) down(i int) {
	it := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], it) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, it)
}

func (h *indexedHeap) set(i int, it *item) {
	h.items[i] = it
	*h.indexOf(it) = i
}
