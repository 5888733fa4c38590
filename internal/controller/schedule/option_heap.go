package schedule

// option is a slot with the cost of a placement there. It is outdated once the slot has changed after the
// cost was computed.
type option struct {
	cost        float64 // seconds, see placementSeconds
	slot        int32   // index in Input.Slots
	changeCount uint32  // the slot's number of changes when the cost was computed
}

// less orders options by cost, and options of the same cost by slot index.
func (o option) less(other option) bool {
	return o.cost < other.cost || o.cost == other.cost && o.slot < other.slot
}

// optionHeap is a binary heap of options with the cheapest on top. It is used instead of container/heap,
// which allocates for each option that is pushed or popped.
type optionHeap []option

// init establishes the heap order of options in any order.
func (h optionHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// push adds an option.
func (h *optionHeap) push(added option) {
	*h = append(*h, added)
	h.siftUp(len(*h) - 1)
}

// pop removes the cheapest option.
func (h *optionHeap) pop() {
	options := *h
	last := len(options) - 1
	options[0] = options[last]
	*h = options[:last]
	h.siftDown(0)
}

// siftUp moves an option up until its parent is no more expensive.
func (h optionHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].less(h[parent]) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// siftDown moves an option down until no child is cheaper.
func (h optionHeap) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].less(h[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
