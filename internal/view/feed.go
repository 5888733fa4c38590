package view

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// A feed hands a snapshot's changes over in pages, oldest change first. A reader names the
// last change that it has, so a controller keeps nothing for it; what it has is whole once a page
// says that no more follow, and that page carries the head. Between two pages the controller may
// have taken a newer snapshot: a row that changed meanwhile moves towards the end and comes
// there, so the last page still completes one revision.

// The format: a magic byte that neither HTTP nor the peers' frames begin with, the version,
// flags, and whole numbers of variable length.
const (
	feedMagic       = 0xD9
	feedVersion     = 1
	flagReset       = 1 // forget everything first
	flagMore        = 2
	flagRemoved     = 0x80
	pageHeaderBytes = 3 // bytes before the first number: magic, version, flags
	// MaxPage is about how many bytes a page has at most: with it the memory that slow
	// readers cost a controller is bounded.
	MaxPage      = 64 << 10
	maxTextBytes = 256
	maxVictims   = 100_000
)

// Cursor is how far a reader is.
type Cursor struct{ Epoch, Seq uint64 }

// ErrMalformedPage says that what came is no valid page; the reader has to begin anew.
var ErrMalformedPage = errors.New("malformed page of the view")

// AppendPage writes the changes after a cursor as far as a page holds them. now is the controller's
// clock, in milliseconds of the day's: against it readers tell how old the snapshot is.
func (s *Snapshot) AppendPage(data []byte, scope Scope, cursor Cursor, now int64) []byte {
	flags := byte(0)
	if cursor.Epoch != s.Epoch || cursor.Seq > s.Seq || cursor.Seq > 0 && cursor.Seq < s.logFloor {
		cursor.Seq = 0
	}
	if cursor.Seq == 0 {
		flags = flagReset
	}
	start := len(data)
	data = append(data, feedMagic, feedVersion, 0) // flags are filled in below
	data = binary.AppendUvarint(data, s.Epoch)
	page := pageEncoder{data: data}
	next := cursor.Seq
	s.log.Ascend(cursor.Seq+1, func(seq uint64, changed logEntry) bool {
		if len(page.data)-start > MaxPage {
			flags |= flagMore
			return false
		}
		next = seq
		if cursor.Seq > 0 || !changed.removed {
			page.row(s, scope, changed)
		}
		return true
	})
	page.data = append(page.data, 0) // no kind: the end of the rows
	if flags&flagMore == 0 {
		next = s.Seq
		head := scope.Head(s.Head)
		head.Now = now
		page.head(head)
	}
	page.uint(next)
	page.data[start+pageHeaderBytes-1] = flags
	return page.data
}

// Page is a page as its reader has it. Next is how far the reader is with it; Reset says that what it has
// from before is void.
type Page struct {
	Reset   bool
	Next    Cursor
	Head    *Head // nil: more pages follow before what the reader has is whole
	changes []func(*Model)
}

// Apply puts a page's rows into a reader's model, which must be no other goroutine's at the time.
func (p *Page) Apply(model *Model) {
	for _, apply := range p.changes {
		apply(model)
	}
}

// ReadPage reads a page. Its errors wrap ErrFeed.
func ReadPage(data []byte) (*Page, error) {
	if len(data) < pageHeaderBytes || data[0] != feedMagic {
		return nil, fmt.Errorf("%w: no page of a view", ErrMalformedPage)
	}
	if data[1] != feedVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrMalformedPage, data[1], feedVersion)
	}
	flags := data[2]
	decoder := &pageDecoder{data: data[pageHeaderBytes:]}
	page := &Page{Reset: flags&flagReset != 0, Next: Cursor{Epoch: decoder.uint()}}
	for !decoder.malformed {
		kindByte := decoder.byte()
		if kindByte == 0 {
			break
		}
		decoder.row(page, kindByte)
	}
	if flags&flagMore == 0 {
		page.Head = decoder.head(page.Next.Epoch)
	}
	page.Next.Seq = decoder.uint()
	if decoder.malformed || len(decoder.data) > 0 || flags&^(flagReset|flagMore) != 0 {
		return nil, fmt.Errorf("%w: %d bytes with flags %#x", ErrMalformedPage, len(data), flags)
	}
	return page, nil
}
