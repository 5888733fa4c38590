package storage

// NameIndex assigns dense indices to names.
type NameIndex struct {
	index map[string]int
	names []string
}

// NewNameIndex returns a NameIndex of the given names, in their order.
func NewNameIndex(names ...string) *NameIndex {
	nameIndex := &NameIndex{index: make(map[string]int, len(names))}
	for _, name := range names {
		nameIndex.Index(name)
	}
	return nameIndex
}

// Index returns a name's index and assigns the next one to a new name.
func (n *NameIndex) Index(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	i := len(n.names)
	n.index[name] = i
	n.names = append(n.names, name)
	return i
}

// Find returns a name's index, or -1 if the name has none.
func (n *NameIndex) Find(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	return -1
}

// Name returns the name with an index. It panics if there is none.
func (n *NameIndex) Name(i int) string { return n.names[i] }

// Len returns the number of names.
func (n *NameIndex) Len() int { return len(n.names) }
