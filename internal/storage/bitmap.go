package storage

import (
	"encoding/base64"
	"fmt"
	"math/bits"
)

// Bitmap is the set of a job's completed tasks, with one bit per task.
type Bitmap []byte

// NewBitmap returns an empty set for the given number of tasks.
func NewBitmap(tasks int) Bitmap { return make(Bitmap, (tasks+7)/8) }

// Get reports whether a task is in the set.
func (b Bitmap) Get(task int) bool { return b[task>>3]&(1<<(task&7)) != 0 }

// Set adds a task to the set.
func (b Bitmap) Set(task int) { b[task>>3] |= 1 << (task & 7) }

// Merge adds the tasks of another set of the same job.
func (b Bitmap) Merge(other Bitmap) {
	for i := range min(len(b), len(other)) {
		b[i] |= other[i]
	}
}

// Count returns the number of tasks in the set.
func (b Bitmap) Count() int {
	count := 0
	for _, octet := range b {
		count += bits.OnesCount8(octet)
	}
	return count
}

// Clone returns a copy of the set.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

// encode returns the set in base64, or "" for an empty set.
func (b Bitmap) encode() string {
	for _, octet := range b {
		if octet != 0 {
			return base64.RawStdEncoding.EncodeToString(b)
		}
	}
	return ""
}

// decodeBitmap decodes the output of encode for a job with the given number of tasks. An error wraps
// ErrCorrupt.
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
