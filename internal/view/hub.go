package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Hub passes the latest snapshot from the goroutine that owns the model to any number of readers.
type Hub struct {
	latest    atomic.Pointer[Snapshot]
	readUntil atomic.Int64 // Unix time in nanoseconds until which there is a reader
	mu        sync.Mutex
	changed   chan struct{}
}

// NewHub returns a hub without a snapshot.
func NewHub() *Hub { return &Hub{changed: make(chan struct{})} }

// readerTimeout is how long after its last request a reader counts as present.
const readerTimeout = 5 * time.Second

// HasReaders reports whether there is a reader. Without one no snapshot needs to be taken.
func (h *Hub) HasReaders(now time.Time) bool { return now.UnixNano() < h.readUntil.Load() }

// Publish makes a snapshot the latest one and wakes the waiting readers. It never waits for a reader.
func (h *Hub) Publish(s *Snapshot) {
	h.latest.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Wait waits for a snapshot that is newer than the cursor and returns it. If ctx ends first it returns
// the latest snapshot, nil if there is none. For a cursor of another epoch it returns the latest snapshot
// at once.
func (h *Hub) Wait(ctx context.Context, cursor Cursor) *Snapshot {
	h.readUntil.Store(time.Now().Add(readerTimeout).UnixNano())
	for {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		s := h.latest.Load()
		if s != nil && (s.Epoch != cursor.Epoch || s.Seq > cursor.Seq) {
			return s
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return h.Latest()
		}
	}
}

// Latest returns the latest snapshot, nil if there is none.
func (h *Hub) Latest() *Snapshot { return h.latest.Load() }
