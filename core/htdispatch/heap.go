package htdispatch

// heapItem is an element of a heap. Each element stores its position in the heap, so
// that it can be moved or removed without a search.
type heapItem[T any] interface {
	comparable
	before(T) bool
	heapPosition(heapID int) *int
}

// heap is an indexed binary heap. An element can be in several heaps at a time if their
// IDs differ.
type heap[T heapItem[T]] struct {
	id    int
	items []T
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) peek() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// contains reports whether v is in the heap. Positions are stored plus one, so that
// zero means absent.
func (h *heap[T]) contains(v T) bool { return *v.heapPosition(h.id) > 0 }

// set adds v, or restores the heap order after the sort key of v changed.
func (h *heap[T]) set(v T) {
	position := v.heapPosition(h.id)
	if *position == 0 {
		h.items = append(h.items, v)
		*position = len(h.items)
	}
	i := *position - 1
	if !h.up(i) {
		h.down(i)
	}
}

// remove removes v; it does nothing if v is absent.
func (h *heap[T]) remove(v T) {
	position := v.heapPosition(h.id)
	if *position == 0 {
		return
	}
	i := *position - 1
	*position = 0
	last := len(h.items) - 1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.put(i, moved)
	if !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) put(i int, v T) {
	h.items[i] = v
	*v.heapPosition(h.id) = i + 1
}

func (h *heap[T]) up(i int) bool {
	v := h.items[i]
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !v.before(h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	h.put(i, v)
	return i < start
}

func (h *heap[T]) down(i int) {
	v := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].before(h.items[child]) {
			child++
		}
		if !h.items[child].before(v) {
			break
		}
		h.put(i, h.items[child])
		i = child
	}
	h.put(i, v)
}
