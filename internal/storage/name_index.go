package storage

// NameIndex maps names to dense indices.
type NameIndex struct {
	index map[string]int
	names []string
}

// NewNameIndex returns an index of the given names, in their order.
func NewNameIndex(names ...string) *NameIndex {
	nameIndex := &NameIndex{index: make(map[string]int, len(names))}
	for _, name := range names {
		nameIndex.Index(name)
	}
	return nameIndex
}

// Index returns a name's index and gives it one if it is new.
func (n *NameIndex) Index(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	i := len(n.names)
	n.index[name] = i
	n.names = append(n.names, name)
	return i
}

// Find returns a known name's index, or -1.
func (n *NameIndex) Find(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	return -1
}

// Name returns the name of an index. It panics if there is none.
func (n *NameIndex) Name(i int) string { return n.names[i] }

// Len returns how many names there are.
func (n *NameIndex) Len() int { return len(n.names) }
