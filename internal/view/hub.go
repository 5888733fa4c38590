package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Hub hands the latest snapshot from the goroutine that keeps the model to all who read it.
type Hub struct {
	latest    atomic.Pointer[Snapshot]
	readUntil atomic.Int64 // until when somebody reads, on the clock of now
	mu        sync.Mutex
	changed   chan struct{}
}

// NewHub has no snapshot yet.
func NewHub() *Hub { return &Hub{changed: make(chan struct{})} }

// readerTimeout is how long after its last request a reader is taken to be there.
const readerTimeout = 5 * time.Second

// Wanted tells whether anybody reads. While nobody does, no snapshot needs to be taken.
func (h *Hub) Wanted(now time.Time) bool { return now.UnixNano() < h.readUntil.Load() }

// Publish hands over a snapshot. It never waits for a reader.
func (h *Hub) Publish(s *Snapshot) {
	h.latest.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Wait returns the first snapshot that is newer than a cursor, or the latest one when ctx
// ends before; nil if there is none. A reader that asks for another epoch gets the latest.
func (h *Hub) Wait(ctx context.Context, cursor Cursor) *Snapshot {
	h.readUntil.Store(time.Now().Add(readerTimeout).UnixNano())
	for {
		h.mu.Lock()
		ch := h.changed
		h.mu.Unlock()
		s := h.latest.Load()
		if s != nil && (s.Epoch != cursor.Epoch || s.Seq > cursor.Seq) {
			return s
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return h.Latest()
		}
	}
}

// Latest is the latest snapshot, nil if there is none.
func (h *Hub) Latest() *Snapshot { return h.latest.Load() }
