package storage

import (
	"encoding/base64"
	"fmt"
	"math/bits"
)

// Bitmap is the set of a job's completed tasks, one bit a task.
type Bitmap []byte

// NewBitmap returns an empty set with room for so many tasks.
func NewBitmap(tasks int) Bitmap { return make(Bitmap, (tasks+7)/8) }

// Get tells whether a task is in the set.
func (b Bitmap) Get(task int) bool { return b[task>>3]&(1<<(task&7)) != 0 }

// Set adds a task.
func (b Bitmap) Set(task int) { b[task>>3] |= 1 << (task & 7) }

// Merge adds another set of the same job.
func (b Bitmap) Merge(other Bitmap) {
	for i := range min(len(b), len(other)) {
		b[i] |= other[i]
	}
}

// Count returns how many tasks are in the set.
func (b Bitmap) Count() int {
	count := 0
	for _, octet := range b {
		count += bits.OnesCount8(octet)
	}
	return count
}

// Clone copies the set.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

// encode writes the set as base64; an empty set takes no bytes.
func (b Bitmap) encode() string {
	for _, octet := range b {
		if octet != 0 {
			return base64.RawStdEncoding.EncodeToString(b)
		}
	}
	return ""
}

// decodeBitmap reads what encode wrote for a job of so many tasks. The error wraps ErrCorrupt.
func decodeBitmap(text string, tasks int) (Bitmap, error) {
	bitmap := NewBitmap(tasks)
	if text == "" {
		return bitmap, nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, wrapCorrupt(fmt.Errorf("bitmap of %d tasks: %w", tasks, err))
	}
	if len(raw) != len(bitmap) {
		return nil, fmt.Errorf("%w: bitmap of %d tasks has %d bytes", ErrCorrupt, tasks, len(raw))
	}
	return Bitmap(raw), nil
}
